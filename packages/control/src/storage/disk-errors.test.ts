import type * as fs from 'node:fs';
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import { type ControlCommand, type LogEntry, toMemberId } from '@bramleykeel/core';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { createLogDriver } from '../log-driver.js';
import {
  closeStorage,
  initialDiskId,
  initializeFolder,
  openStorage,
  persistEntries,
  persistSnapshot,
} from './control-storage.js';
import { retryOnDiskError } from './disk-errors.js';

const disk = vi.hoisted(() => ({
  freeBytes: Number.POSITIVE_INFINITY,
  /** How often a folder can still be opened in order to sync it. */
  folderSyncs: Number.POSITIVE_INFINITY,
}));

vi.mock('node:fs', async (importActual) => {
  const actual = await importActual<typeof fs>();
  // A disk that fills up writes only part of the last buffer.
  const writeSync = (descriptor: number, bytes: Buffer, offset = 0): number => {
    if (disk.freeBytes <= 0) {
      throw Object.assign(new Error('no space'), { code: 'ENOSPC', syscall: 'write' });
    }
    const writtenBytes = Math.min(disk.freeBytes, bytes.length - offset);
    disk.freeBytes -= writtenBytes;
    return actual.writeSync(descriptor, bytes, offset, writtenBytes);
  };
  const openSync = (path: string, flags: string): number => {
    if (actual.statSync(path, { throwIfNoEntry: false })?.isDirectory()) {
      disk.folderSyncs -= 1;
      if (disk.folderSyncs < 0)
        throw Object.assign(new Error('no space'), { code: 'ENOSPC', syscall: 'open' });
    }
    return actual.openSync(path, flags);
  };
  return { ...actual, writeSync, openSync };
});

const self = toMemberId('a');
const timing = {
  heartbeatMs: 10,
  electionTimeoutMinMs: 20,
  electionTimeoutMaxMs: 40,
  leaseMs: 100,
};
let folder = '';

beforeEach(() => {
  folder = mkdtempSync(join(tmpdir(), 'bramleykeel-disk-'));
});

afterEach(() => {
  disk.freeBytes = Number.POSITIVE_INFINITY;
  disk.folderSyncs = Number.POSITIVE_INFINITY;
  rmSync(folder, { recursive: true, force: true });
});

function entry(index: number): LogEntry<ControlCommand> {
  return { index, term: 1, payload: { kind: 'noop' } };
}

function reopen() {
  const opened = openStorage(folder).unsafeCoerce();
  closeStorage(opened.storage);
  return opened;
}

describe('disk errors', () => {
  it.each([0, 1, 9, 30])('leave an intact log after %i bytes of a record were written', (bytes) => {
    const { storage } = openStorage(folder).unsafeCoerce();
    persistEntries(storage, [entry(1)]);
    disk.freeBytes = bytes;
    expect(() => {
      persistEntries(storage, [entry(2), entry(3), entry(4)]);
    }).toThrow('no space');
    disk.freeBytes = Number.POSITIVE_INFINITY;
    persistEntries(storage, [entry(2)]);
    closeStorage(storage);
    expect(reopen().durable.entries).toEqual([entry(1), entry(2)]);
  });

  it.each([0, 40, 80, 120])(
    'preserve all entries after %i bytes of a snapshot were written',
    (bytes) => {
      const { storage } = openStorage(folder).unsafeCoerce();
      persistEntries(storage, [entry(1), entry(2)]);
      disk.freeBytes = bytes;
      const snapshot = { index: 1, term: 1, membership: {}, data: Buffer.from('one') };
      try {
        persistSnapshot(storage, snapshot, [entry(2)]);
      } catch {
        disk.freeBytes = Number.POSITIVE_INFINITY;
      }
      disk.freeBytes = Number.POSITIVE_INFINITY;
      persistEntries(storage, [entry(3)]);
      closeStorage(storage);
      const { durable, snapshot: storedSnapshot } = reopen();
      expect([storedSnapshot.index, ...durable.entries.map(({ index }) => index)].at(-1)).toBe(3);
      expect(storedSnapshot.index + durable.entries.length).toBe(3);
    },
  );

  it('between the rename and the sync of a new log leave no entry in a file without a name', () => {
    const { storage } = openStorage(folder).unsafeCoerce();
    persistEntries(storage, [entry(1), entry(2)]);
    const snapshot = { index: 1, term: 1, membership: {}, data: Buffer.from('one') };
    persistSnapshot(storage, snapshot, [entry(2)]);
    // The snapshot gets its name, the log does not.
    disk.folderSyncs = 1;
    const next = { index: 2, term: 1, membership: {}, data: Buffer.from('two') };
    expect(() => {
      persistSnapshot(storage, next, []);
    }).toThrow('no space');
    expect(() => {
      persistEntries(storage, [entry(3)]);
    }).toThrow('no space');
    disk.folderSyncs = Number.POSITIVE_INFINITY;
    persistEntries(storage, [entry(3), entry(4)]);
    closeStorage(storage);
    const { durable, snapshot: stored } = reopen();
    expect(stored.index + durable.entries.length).toBe(4);
  });

  it('pause a member, which resumes without a restart', async () => {
    initializeFolder(folder, self, {
      [self]: {
        address: 'a:1',
        adminAddress: 'a:2',
        diskId: initialDiskId(self),
        isVoter: true,
      },
    });
    const opened = openStorage(folder).unsafeCoerce();
    const hooks = {
      send: () => undefined,
      onRole: () => undefined,
      onApplied: () => undefined,
      onRoundConfirmed: () => undefined,
      onBroken: () => undefined,
    };
    const driver = createLogDriver(
      opened,
      { selfId: self, timing, snapshotEveryEntries: 100, log: () => undefined },
      hooks,
    );
    const ticker = setInterval(() => {
      driver.step({ kind: 'tick' });
    }, 5);
    const putDocument = (version: number) =>
      driver.propose({
        kind: 'document/put',
        document: { version, body: new Uint8Array([version]) },
      });
    await vi.waitFor(async () => {
      expect(await putDocument(1)).toBeDefined();
    });
    disk.freeBytes = 5;
    expect(await putDocument(2)).toBeUndefined();
    expect(await putDocument(3)).toBeUndefined();
    disk.freeBytes = Number.POSITIVE_INFINITY;
    await vi.waitFor(async () => {
      expect(await putDocument(4)).toBeDefined();
    });
    clearInterval(ticker);
    closeStorage(opened.storage);
    const indexes = reopen().durable.entries.map(({ index }) => index);
    expect(indexes).toEqual(indexes.map((_, offset) => offset + (indexes[0] ?? 0)));
  });

  it('are retried when a member starts, and other errors are not', async () => {
    disk.freeBytes = 3;
    setTimeout(() => {
      disk.freeBytes = Number.POSITIVE_INFINITY;
    }, 60);
    const opened = await retryOnDiskError(
      () => undefined,
      () => openStorage(folder),
    );
    closeStorage(opened.unsafeCoerce().storage);
    await delay(1);
    const failingCall = retryOnDiskError(
      () => undefined,
      () => {
        throw new Error('a programming error');
      },
    );
    await expect(failingCall).rejects.toThrow('a programming error');
  });
});
