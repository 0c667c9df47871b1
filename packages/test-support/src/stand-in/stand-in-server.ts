/** Starts one stand-in server: PostgreSQL port, command port, replication and announcements. */
import { randomUUID } from 'node:crypto';
import { createServer as createHttpServer, type IncomingMessage } from 'node:http';
import { createServer as createTcpServer, type Server } from 'node:net';
import { splitAddress, type TargetCommand } from '@bramleykeel/core';
import { loadParser } from '@bramleykeel/postgres-wire';
import { startAnnouncer } from './announcer.js';
import { serveConnection } from './connection.js';
import type { ServerContext } from './connection-state.js';
import { type AnswerFaults, countCopies } from './repeated-answers.js';
import { type ReplicationFaults, runReplication, waitForLogEntries } from './replication.js';
import { createStandInServer, executeCommand, promote } from './server-state.js';
import { createSlots } from './slots.js';
import { appendEntry, lastEntry, openStorage, saveTerms } from './storage.js';

export interface StandInOptions {
  readonly group: string;
  readonly server: string;
  readonly zone: string;
  readonly address: string;
  /** The address to announce; differs from `address` if clients connect through a relay. */
  readonly announcedAddress: string;
  readonly commandAddress: string;
  readonly announceUrls: readonly string[];
  readonly announceToken: string | undefined;
  readonly announceIntervalMs: number;
  readonly dataFolder: string | undefined;
  readonly isFirstPrimary: boolean;
  /** Command URL of the primary to follow on the first start. */
  readonly followUrl: string | undefined;
  readonly lagMs: number;
  readonly slots: number;
  readonly connections: number;
  readonly connectCostMs: number;
  readonly statementCostMs: number;
  readonly password: string;
  /** Whether a new first primary creates the `bookings` table. */
  readonly createsBookingsTable: boolean;
}

interface Faults extends ReplicationFaults, AnswerFaults {
  areAnnouncementsPaused: boolean;
}

/** Starts the server; resolves once both ports are listening. */
export async function startStandIn(options: StandInOptions): Promise<void> {
  await loadParser();
  const storage = openStorage(options.dataFolder);
  const server = createStandInServer(options.server, storage);
  const faults: Faults = {
    ...{ isReplicationPaused: false, areAnnouncementsPaused: false },
    ...{ repeatsAnswers: 'never', repeatedAnswers: 'first', repeatEvery: 1 },
  };
  const isNewStorage = storage.terms.term === 0;
  if (isNewStorage && options.isFirstPrimary) {
    promote(server, 1);
    if (options.createsBookingsTable) createBookingsTable();
  }
  if (isNewStorage && !options.isFirstPrimary) {
    saveTerms(storage, { promisedTerm: 1, term: 1 });
    server.primaryCommandUrl = options.followUrl;
  }
  const serverContext: ServerContext = {
    server,
    slots: createSlots(options.slots),
    password: options.password,
    maxConnections: options.connections,
    connectCostMs: options.connectCostMs,
    statementCostMs: options.statementCostMs,
    connections: new Map(),
    nextProcessId: 1_000,
    answerFaults: faults,
  };
  const tcpServer = createTcpServer((socket) => {
    serveConnection(socket, serverContext);
  });
  await listen(tcpServer, options.address);
  const httpServer = createHttpServer((request, response) => {
    void handleCommandRequest(request).then((result) => {
      response.setHeader('content-type', 'application/json');
      response.end(JSON.stringify(result ?? null));
    });
  });
  await listen(httpServer, options.commandAddress);
  void runReplication(server, options.lagMs, faults);
  const incarnation = randomUUID();
  let sequence = 0;
  const announcer = startAnnouncer({
    urls: options.announceUrls,
    token: options.announceToken,
    intervalMs: options.announceIntervalMs,
    coalesceDelayMs: 1,
    createAnnouncement,
    isPaused: () => faults.areAnnouncementsPaused,
  });
  storage.onChange = announcer.scheduleAnnouncement;
  server.onRoleChange = announcer.scheduleAnnouncement;

  function createAnnouncement() {
    sequence += 1;
    return {
      group: options.group,
      server: options.server,
      incarnation,
      sequence,
      address: options.announcedAddress,
      commandUrl: `http://${options.commandAddress}`,
      zone: options.zone,
      role: server.role,
      term: storage.terms.term,
      position: lastEntry(storage),
      slots: options.slots,
      connections: options.connections,
      isLeaving: server.isLeaving,
    };
  }

  function createBookingsTable(): void {
    const columns = ['id', 'lens'].map((name) => ({ name, typeId: 25 }));
    const table = { name: 'bookings', columns, primaryKey: 'id' };
    const { term, offset } = lastEntry(storage);
    const changes = [{ kind: 'create', table } as const];
    appendEntry(storage, { term, offset: offset + 1, committedAtMs: Date.now(), changes });
  }

  async function handleCommandRequest(request: IncomingMessage): Promise<unknown> {
    const url = new URL(request.url ?? '/', 'http://stand-in');
    const body = await readBody(request);
    switch (`${request.method ?? ''} ${url.pathname}`) {
      case 'GET /log': {
        const after = Number(url.searchParams.get('after') ?? '0');
        return waitForLogEntries(server, after, Number(url.searchParams.get('term') ?? '0'));
      }
      case 'GET /entries':
        return { role: server.role, terms: storage.terms, entries: storage.entries };
      case 'POST /command':
        return executeCommand(server, JSON.parse(body) as TargetCommand);
      case 'POST /faults':
        Object.assign(faults, JSON.parse(body));
        return { ...faults, copyCount: countCopies() };
      case 'POST /leave':
        server.isLeaving = true;
        announcer.scheduleAnnouncement();
        return { isLeaving: true };
      default:
        return { error: 'unknown command' };
    }
  }
}

function listen(server: Server, address: string): Promise<void> {
  const { host, port } = splitAddress(address);
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
}

async function readBody(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString('utf8');
}
