/** Support code of the system tests: test clusters and the write ledger. */
export * from './test-cluster.js';
export * from './write-ledger.js';
