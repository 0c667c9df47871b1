import { describe, expect, it } from 'vitest';
import { readProcessLimits } from './process-limits.js';

describe('limits of a process', () => {
  it('are read from the system without settings', () => {
    const { maxDescriptors, budgetBytes } = readProcessLimits({});
    expect(maxDescriptors).toBeGreaterThan(0);
    expect(budgetBytes).toBeGreaterThan(0);
  });

  // Callers inside the limits were refused where the system reported fewer descriptors than it allowed.
  it('are those of the settings, even above what the system reports', () => {
    const reported = readProcessLimits({}).maxDescriptors;
    const maxDescriptors = reported * 2;
    expect(readProcessLimits({ maxDescriptors }).maxDescriptors).toBe(maxDescriptors);
  });
});
