/** The entry daemon: callers in front, owners of database groups behind. */
export * from './entry-daemon.js';
export { type ControlClient, startControlClient } from '@bramleykeel/entry-shared';
