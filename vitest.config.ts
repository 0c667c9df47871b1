import { configDefaults, defineConfig } from 'vitest/config';

const CLIENT_LIMITS = [
  'packages/*/src/client-limits/*.test.ts',
  'platform/src/client-limits/*.test.ts',
];

export default defineConfig({
  test: {
    testTimeout: 120_000,
    hookTimeout: 60_000,
    projects: [
      {
        extends: true,
        test: {
          name: 'all-other',
          include: ['packages/*/src/**/*.test.ts', 'platform/src/**/*.test.ts'],
          exclude: [...configDefaults.exclude, ...CLIENT_LIMITS],
          maxWorkers: 2,
          maxConcurrency: 3,
          sequence: { groupOrder: 0 },
        },
      },
      {
        extends: true,
        // These tests measure the memory of processes, so one file runs at a time, after all other tests.
        test: {
          name: 'client-limits',
          include: CLIENT_LIMITS,
          maxWorkers: 1,
          sequence: { groupOrder: 1 },
        },
      },
    ],
  },
});
