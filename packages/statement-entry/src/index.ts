/** Entries that speak a statement-level dialect: sessions in front, owners of groups behind. */
export * from './statement-entry.js';
export * from './types/caller-port.js';
export * from './types/target-port.js';
export { submitRequest } from './accept/session.js';
export type { CallerSession } from './accept/session-state.js';
