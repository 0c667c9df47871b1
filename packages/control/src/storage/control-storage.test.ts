import {
  appendFileSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  truncateSync,
  writeFileSync,
} from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { toMemberId, type ControlCommand, type LogEntry } from '@bramleykeel/core';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import {
  closeStorage,
  initialDiskId,
  initializeFolder,
  openStorage,
  persistEntries,
  persistSnapshot,
  persistVote,
} from './control-storage.js';

let folder = '';

beforeEach(() => {
  folder = mkdtempSync(join(tmpdir(), 'bramleykeel-storage-'));
});

afterEach(() => {
  rmSync(folder, { recursive: true, force: true });
});

function entry(index: number, term = 1): LogEntry<ControlCommand> {
  return { index, term, payload: { kind: 'noop' } };
}

function open() {
  return openStorage(folder).unsafeCoerce();
}

/** Runs `use` on the opened storage, closes it, and returns what a restart recovers. */
function reopenAfter(use: (storage: ReturnType<typeof open>['storage']) => void) {
  const { storage } = open();
  use(storage);
  closeStorage(storage);
  const reopened = open();
  closeStorage(reopened.storage);
  return reopened;
}

const LOG = 'log';

describe('control storage', () => {
  it('recovers vote and entries, the newest entries replacing a conflicting suffix', () => {
    const { durable } = reopenAfter((storage) => {
      persistVote(storage, 3, toMemberId('b'));
      persistEntries(storage, [entry(1), entry(2), entry(3)]);
      persistEntries(storage, [entry(2, 3)]);
    });
    expect(durable.currentTerm).toBe(3);
    expect(durable.votedFor).toBe('b');
    expect(durable.entries).toEqual([entry(1), entry(2, 3)]);
  });

  it('recovers hundreds of changes over several snapshots', () => {
    const { durable, snapshot } = reopenAfter((storage) => {
      for (let index = 1; index <= 900; index += 1) {
        persistEntries(storage, [entry(index)]);
        if (index % 250 !== 0) continue;
        const data = Buffer.from(`up to ${index}`);
        persistSnapshot(storage, { index, term: 1, membership: {}, data }, []);
      }
    });
    expect(Buffer.from(snapshot.data).toString()).toBe('up to 750');
    expect(durable.entries.map(({ index }) => index)).toEqual(
      Array.from({ length: 150 }, (_, offset) => 751 + offset),
    );
  });

  it('skips log entries that the snapshot includes, as after a crash between the two writes', () => {
    reopenAfter((storage) => {
      persistEntries(storage, [entry(1), entry(2), entry(3)]);
    });
    const log = readFileSync(join(folder, LOG));
    const { durable } = reopenAfter((storage) => {
      persistSnapshot(storage, { index: 2, term: 1, membership: {}, data: Buffer.from('x') }, [
        entry(3),
      ]);
      writeFileSync(join(folder, LOG), log);
    });
    expect(durable.entries).toEqual([entry(3)]);
  });

  const INCOMPLETE_WRITES: readonly [string, (file: string) => void][] = [
    [
      'cut in the last record',
      (file) => {
        truncateSync(file, readFileSync(file).length - 3);
      },
    ],
    [
      'followed by half a header',
      (file) => {
        appendFileSync(file, Buffer.from([0, 0]));
      },
    ],
    [
      'followed by garbage bytes',
      (file) => {
        appendFileSync(file, Buffer.alloc(40, 7));
      },
    ],
  ];
  it.each(INCOMPLETE_WRITES)(
    'truncates the incomplete end of a log that is %s, and continues',
    (_name, damage) => {
      reopenAfter((storage) => {
        persistEntries(storage, [entry(1)]);
        persistEntries(storage, [entry(2)]);
      });
      damage(join(folder, LOG));
      const { tornBytes, durable } = reopenAfter((storage) => {
        persistEntries(storage, [entry(recoveredEntryCount() + 1)]);
      });
      expect(tornBytes).toBe(0);
      expect(durable.entries.map(({ index }) => index)).toEqual(
        Array.from({ length: durable.entries.length }, (_, offset) => offset + 1),
      );

      function recoveredEntryCount(): number {
        const opened = open();
        closeStorage(opened.storage);
        return opened.durable.entries.length;
      }
    },
  );

  const CORRUPTIONS: readonly [string, string, (content: Buffer) => void][] = [
    [
      'a record in the middle of the log',
      LOG,
      (content) => {
        content[9] = (content[9] ?? 0) ^ 1;
      },
    ],
    [
      'the length of a record in the middle',
      LOG,
      (content) => {
        content[2] = 0xff;
      },
    ],
    [
      'the snapshot',
      'snapshot',
      (content) => {
        content[12] = (content[12] ?? 0) ^ 1;
      },
    ],
    [
      'the identity',
      'identity',
      (content) => {
        content[12] = (content[12] ?? 0) ^ 1;
      },
    ],
  ];
  it.each(CORRUPTIONS)('reports corruption of %s and changes nothing', (_name, name, damage) => {
    initializeFolder(folder, 'a', {}).unsafeCoerce();
    reopenAfter((storage) => {
      for (const index of [1, 2, 3]) persistEntries(storage, [entry(index)]);
    });
    const file = join(folder, name);
    const content = readFileSync(file);
    damage(content);
    writeFileSync(file, content);
    expect(openStorage(folder).swap().extract()).toMatchObject({ kind: 'corrupt-file', file });
    expect(readFileSync(file)).toEqual(content);
  });

  it('assigns a new disk id to an empty folder, and keeps it', () => {
    const first = reopenAfter(() => undefined).storage.diskId;
    expect(first).not.toBe(initialDiskId('a'));
    expect(reopenAfter(() => undefined).storage.diskId).toBe(first);
  });

  it('initializes a folder only once', () => {
    expect(initializeFolder(folder, 'a', {}).isRight()).toBe(true);
    expect(initializeFolder(folder, 'a', {}).extract()).toBe('already-initialized');
  });
});
