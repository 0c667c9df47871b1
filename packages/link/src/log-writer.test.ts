import { closeSync, mkdtempSync, openSync, readFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { describe, expect, it } from 'vitest';
import { createLogWriter } from './log-writer.js';

function openFile(): { readonly fd: number; readonly path: string } {
  const path = join(mkdtempSync(join(tmpdir(), 'bramleykeel-log-')), 'lines');
  return { fd: openSync(path, 'w'), path };
}

function readLines(path: string): Record<string, unknown>[] {
  const lines = readFileSync(path, 'utf8').trim().split('\n');
  return lines.map((line) => JSON.parse(line) as Record<string, unknown>);
}

describe('log writer', () => {
  it('writes one JSON object per line with time, part, message and fields', () => {
    const { fd, path } = openFile();
    const writer = createLogWriter(fd);
    writer.write('bramleykeel:owner', 'statement was not run', { request: 'a1', waitedMs: 45 });
    writer.flush();
    const [line] = readLines(path);
    expect(line).toMatchObject({
      part: 'bramleykeel:owner',
      msg: 'statement was not run',
      request: 'a1',
      waitedMs: 45,
    });
    expect(line?.time).toBeTypeOf('number');
    closeSync(fd);
  });

  it('escapes line breaks in field values', () => {
    const { fd, path } = openFile();
    const writer = createLogWriter(fd);
    writer.write('bramleykeel:caller', 'refused', { request: 'a\n{"part":"forged"}\r\n' });
    writer.flush();
    expect(readLines(path)).toHaveLength(1);
    closeSync(fd);
  });

  it('drops and counts lines instead of blocking when the buffer is full', async () => {
    // Nothing is written before this turn of the event loop ends, so all lines go to the buffer.
    const { fd, path } = openFile();
    const writer = createLogWriter(fd, { maxBufferedBytes: 8_192, minWriteBytes: 4_096 });
    const startedAtMs = performance.now();
    for (let number = 0; number < 20_000; number += 1) {
      writer.write('bramleykeel:caller', 'statement was not run', { request: `r-${number}` });
    }
    const durationMs = performance.now() - startedAtMs;
    expect(writer.droppedLines()).toBeGreaterThan(10_000);
    expect(durationMs).toBeLessThan(2_000);
    await new Promise((resolve) => setTimeout(resolve, 500));
    writer.flush();
    const warning = readLines(path).find((line) => line.part === 'bramleykeel:log');
    expect(warning?.count).toBeGreaterThan(10_000);
    closeSync(fd);
  });
});
