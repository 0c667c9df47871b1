import { defineConfig } from 'vitest/config';

export default defineConfig({
  test: {
    include: ['packages/*/src/**/*.test.ts', 'platform/src/**/*.test.ts'],
    testTimeout: 120_000,
    hookTimeout: 60_000,
    maxWorkers: 2,
    maxConcurrency: 3,
  },
});
