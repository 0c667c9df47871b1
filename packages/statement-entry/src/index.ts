/** Entries that speak a statement-level dialect: sessions in front, owners of groups behind. */
export * from './statement-entry.js';
export * from './types/caller-port.js';
export * from './types/target-port.js';
export { type CallerSession, takeRequest } from './accept/session.js';
