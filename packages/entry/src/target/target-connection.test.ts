import type { Socket } from 'node:net';
import {
  buildCommandComplete,
  buildDataRow,
  buildEmptyMessage,
  buildErrorResponse,
  buildParameterDescription,
  buildParameterStatus,
  buildReadyForQuery,
  SERVER,
} from '@bramleykeel/postgres-wire';
import { type Script, type ScriptedServer, startScriptedServer } from '@bramleykeel/test-support';
import { afterEach, describe, expect, it, vi } from 'vitest';
import {
  connectTarget,
  type OutOfStepReport,
  runInternalQuery,
  type TargetConnection,
} from './target-connection.js';

const CREDENTIALS = { user: 'u', password: '', database: 'g' };
const ANSWER = [buildDataRow(['1']), buildCommandComplete('SELECT 1'), buildReadyForQuery('idle')];

let server: ScriptedServer | undefined;

afterEach(() => {
  server?.close();
});

async function open(script: Script) {
  const reports: OutOfStepReport[] = [];
  server = await startScriptedServer(script);
  const outcome = await connectTarget(server.address, CREDENTIALS, 1_000, (report) => {
    reports.push(report);
  });
  return { outcome, reports, server };
}

async function openConnection(script: Script) {
  const { outcome, reports, server: started } = await open(script);
  const [socket] = started.sockets;
  if (outcome.kind !== 'connected' || !socket) throw new Error('not connected');
  return { connection: outcome.connection, socket, reports };
}

function writeAll(socket: Socket, messages: readonly Buffer[]): void {
  socket.write(Buffer.concat(messages));
}

async function isStillOpen(connection: TargetConnection): Promise<boolean> {
  await new Promise((resolve) => setTimeout(resolve, 50));
  return !connection.isClosed && !connection.socket.destroyed;
}

// Guards against a repeated answer that is taken for the answer to the next request (incident foreign-answers-and-cut-statements).
describe('a connection that no request uses', () => {
  it('is closed, counted and reported once when an answer arrives', async () => {
    const { connection, socket, reports } = await openConnection({ onMessage: () => [] });
    writeAll(socket, ANSWER);
    await vi.waitFor(() => {
      expect(connection.isClosed).toBe(true);
    });
    await vi.waitFor(() => {
      expect(connection.socket.destroyed).toBe(true);
    });
    expect(reports).toMatchObject([{ moment: 'unused', messageType: 'D', processId: 7 }]);
  });

  it('stays open when asynchronous messages arrive', async () => {
    const { connection, socket, reports } = await openConnection({ onMessage: () => [] });
    writeAll(socket, [
      buildParameterStatus('TimeZone', 'UTC'),
      buildEmptyMessage(SERVER.noticeResponse),
      buildEmptyMessage(SERVER.notificationResponse),
    ]);
    expect(await isStillOpen(connection)).toBe(true);
    expect(reports).toEqual([]);
  });

  it('is not handed out when an answer follows the startup in the same write', async () => {
    const { outcome, reports } = await open({
      afterStartup: [buildReadyForQuery('idle')],
      onMessage: () => [],
    });
    expect(outcome).toEqual({ kind: 'failed', failure: { kind: 'lost' } });
    expect(reports).toMatchObject([{ moment: 'unused', messageType: 'Z' }]);
  });

  it('is closed when the answer to its internal query came twice in one write', async () => {
    const { connection, reports } = await openConnection({
      onMessage: () => ANSWER,
      onEcho: (answer) => Buffer.concat([answer, ...ANSWER]),
    });
    expect(await runInternalQuery(connection, 'SELECT 1', 1_000)).toMatchObject({ kind: 'done' });
    expect(connection.isClosed).toBe(true);
    expect(reports).toMatchObject([{ moment: 'unused', messageType: 'D' }]);
  });
});

// Guards against a late copy of an earlier answer that is taken for the answer to an internal query.
describe('an internal query', () => {
  const OTHER = [buildDataRow(['2']), buildCommandComplete('SELECT 1'), buildReadyForQuery('idle')];

  it('has the answer that precedes its echo', async () => {
    const { connection, reports } = await openConnection({ onMessage: () => ANSWER });
    for (let round = 0; round < 3; round += 1) {
      const outcome = await runInternalQuery(connection, 'SELECT 1', 1_000);
      expect(outcome).toEqual({ kind: 'done', status: 'idle', rows: ['1'] });
    }
    expect(connection.isClosed).toBe(false);
    expect(reports).toEqual([]);
  });

  it('has an error as its answer', async () => {
    const fields = { severity: 'ERROR', sqlState: '42601', message: 'm' } as const;
    const answer = [buildErrorResponse(fields), buildReadyForQuery('idle')];
    const { connection } = await openConnection({ onMessage: () => answer });
    const outcome = await runInternalQuery(connection, 'SELEC', 1_000);
    expect(outcome).toEqual({ kind: 'error', sqlState: '42601' });
  });

  const LATE: readonly [string, Script][] = [
    ['a copy of an earlier answer before its own', { onMessage: () => [...OTHER, ...ANSWER] }],
    ['a copy of an earlier answer behind its own', { onMessage: () => [...ANSWER, ...OTHER] }],
    [
      'a copy of an earlier answer inside its own',
      { onMessage: () => [...ANSWER.slice(0, 1), ...OTHER, ...ANSWER.slice(1)] },
    ],
    ['a copy of the startup', { onMessage: () => [buildReadyForQuery('idle'), ...ANSWER] }],
    [
      'a copy of an earlier answer and its echo',
      {
        onMessage: () => [
          ...OTHER,
          buildEmptyMessage(SERVER.parseComplete),
          buildParameterDescription([7]),
          buildEmptyMessage(SERVER.noData),
          buildReadyForQuery('idle'),
          ...ANSWER,
        ],
      },
    ],
    ['no echo', { onMessage: () => ANSWER, onEcho: () => Buffer.concat(OTHER) }],
    [
      'an echo with another transaction status',
      {
        onMessage: () => [...ANSWER.slice(0, 2), buildReadyForQuery('in-transaction')],
        onEcho: (answer) => Buffer.concat([answer.subarray(0, -6), buildReadyForQuery('idle')]),
      },
    ],
  ];
  it.each(LATE)('is lost, and its connection closed, with %s', async (_name, script) => {
    const { connection, reports } = await openConnection(script);
    expect(await runInternalQuery(connection, 'SELECT 1', 1_000)).toEqual({ kind: 'lost' });
    expect(connection.isClosed).toBe(true);
    expect(reports).toMatchObject([{ moment: 'in-request' }]);
  });
});
