import { toMemberId } from '@bramleykeel/core';
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterEach, beforeEach, expect, it } from 'vitest';
import { createLogDriver } from './log-driver.js';
import {
  closeStorage,
  initialDiskId,
  initializeFolder,
  type OpenedStorage,
  openStorage,
} from './storage/control-storage.js';

const selfId = toMemberId('member-1');
const timing = { heartbeatMs: 30, electionTimeoutMinMs: 1, electionTimeoutMaxMs: 2 };

let folder: string;
let opened: OpenedStorage;

beforeEach(() => {
  folder = mkdtempSync(join(tmpdir(), 'bramleykeel-driver-'));
  const record = { address: 'a:1', adminAddress: 'a:2', diskId: initialDiskId(selfId) };
  initializeFolder(folder, selfId, { [selfId]: { ...record, isVoter: true } });
  opened = openStorage(folder).unsafeCoerce();
});

afterEach(() => {
  closeStorage(opened.storage);
  rmSync(folder, { recursive: true });
});

it('reports an event that was handled in part, even if its caller handles the error', async () => {
  const broken: unknown[] = [];
  const error = new Error('an error while applying');
  const driver = createLogDriver(
    opened,
    { selfId, timing, snapshotEveryEntries: 100, log: () => undefined },
    {
      send: () => undefined,
      onRole: () => undefined,
      onApplied: () => {
        throw error;
      },
      onRoundConfirmed: () => undefined,
      onBroken: (reason) => broken.push(reason),
    },
  );
  await new Promise((resolve) => setTimeout(resolve, 10));
  expect(() => {
    driver.step({ kind: 'tick' });
  }).toThrow(error);
  expect(broken).toContain(error);
});
