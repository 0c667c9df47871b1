/** The entry daemon, which accepts callers and owns database groups. */
export * from './entry-daemon.js';
export { type ControlClient, startControlClient } from '@bramleykeel/entry-shared';
