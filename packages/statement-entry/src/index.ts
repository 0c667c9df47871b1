/** Entry for statement-level dialects: caller sessions and group owners. */
export * from './statement-entry.js';
export * from './types/entry-options.js';
export * from './types/explanation.js';
export * from './types/caller-port.js';
export * from './types/target-port.js';
export * from './target/match-answer.js';
export { ANONYMOUS_CUSTOMER } from './accept/access.js';
export { submitRequest } from './accept/session.js';
export type { CallerSession } from './accept/session-state.js';
