/** Development clusters, also used by benchmarks and process-level tests. */
export * from './cluster.js';
export * from './cluster-plan.js';
export * from './free-ports.js';
export * from './process-usage.js';
export * from './client-crowd.js';
