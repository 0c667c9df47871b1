import type { Socket } from 'node:net';
import {
  buildCommandComplete,
  buildDataRow,
  buildEmptyMessage,
  buildParameterStatus,
  buildReadyForQuery,
  CLIENT,
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
    const { connection, socket, reports } = await openConnection({ onMessage: () => undefined });
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
    const { connection, socket, reports } = await openConnection({ onMessage: () => undefined });
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
      onMessage: () => undefined,
    });
    expect(outcome).toEqual({ kind: 'failed', failure: { kind: 'lost' } });
    expect(reports).toMatchObject([{ moment: 'unused', messageType: 'Z' }]);
  });

  it('is closed when the answer to its internal query came twice in one write', async () => {
    const { connection, reports } = await openConnection({
      onMessage: (message, socket) => {
        if (message.type === CLIENT.query) writeAll(socket, [...ANSWER, ...ANSWER]);
      },
    });
    expect(await runInternalQuery(connection, 'SELECT 1', 1_000)).toMatchObject({ kind: 'done' });
    expect(connection.isClosed).toBe(true);
    expect(reports).toMatchObject([{ moment: 'unused', messageType: 'D' }]);
  });
});
