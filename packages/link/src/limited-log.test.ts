/** Guards against log lines that clients can cause at any rate. */
import { expect, it, vi } from 'vitest';
import { limitLog } from './limited-log.js';

it('writes one line per second for each message, and the number of those left out', () => {
  let nowMs = 0;
  const log = vi.fn();
  const limitedLog = limitLog(log, () => nowMs);
  for (let call = 0; call < 100; call += 1) limitedLog('refused', { open: call });
  limitedLog('too long');
  nowMs = 999;
  limitedLog('refused', { open: 100 });
  nowMs = 1_000;
  limitedLog('refused', { open: 101 });
  expect(log.mock.calls).toEqual([
    ['refused', { open: 0, omitted: 0 }],
    ['too long', { omitted: 0 }],
    ['refused', { open: 101, omitted: 100 }],
  ]);
});
