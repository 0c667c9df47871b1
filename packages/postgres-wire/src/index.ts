/** PostgreSQL wire protocol 3 messages, and classification of SQL statements. */
export * from './message-framer.js';
export { createPiecePool, type PiecePool } from './long-message.js';
export * from './message-types.js';
export * from './client-messages.js';
export * from './client-message-builders.js';
export * from './server-messages.js';
export * from './syntax.js';
export * from './classify-statement.js';
