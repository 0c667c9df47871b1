/** Process-level tests and what they are made of. */
export * from './test-cluster.js';
export * from './write-ledger.js';
