/** A database service: one primary and its replicas, which follow the published wire protocol. */
import { createServer, type Server, type Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { call } from './cluster.js';
import { copyOfStart, type Recorder } from './record.js';
import { fieldsOf, readLines } from './wire.js';

interface Write {
  readonly id: string;
  readonly item: string;
  readonly data: string;
}

interface LogEntry {
  readonly term: number;
  readonly writes: readonly Write[];
}

/** A statement that has run. */
export interface Run {
  readonly server: string;
  readonly id: string;
  readonly text: string;
  readonly tenant: string;
  readonly values: Readonly<Record<string, string>>;
  readonly atMs: number;
  readonly position: string;
}

interface Session {
  tenant: string;
  isOpen: boolean;
  values: Map<string, string>;
  prepared: Map<string, { access: string; shape: string }>;
  transaction: { isReadOnly: boolean; writes: Write[]; term: number } | undefined;
  hasFailed: boolean;
}

/** How a server answers a statement of a client; `rows` replaces the rows of a read. */
export interface Answering {
  readonly rows?: readonly string[];
  readonly delayMs?: number;
}

export interface DatabaseServer {
  readonly id: string;
  readonly zone: string;
  readonly address: string;
  role: 'primary' | 'replica';
  log: LogEntry[];
  term: number;
  heldTerm: number;
  /** Set while the server receives nothing from the primary. */
  isDeaf: boolean;
  /** Set while the server answers nobody and receives nothing; it keeps its log. */
  isDark: boolean;
  seq: number;
  readonly bornMs: number;
  readonly sockets: Set<Socket>;
  readonly listener: Server;
  /** What its heartbeats say. */
  state: 'ready' | 'draining';
  /** When control first acknowledged that it leaves. */
  leaveAcknowledgedAtMs: number | undefined;
}

export interface DatabaseOptions {
  readonly name: string;
  readonly ip: string;
  readonly zones: readonly string[];
  readonly slots: number;
  readonly workMs: number;
  readonly recorder: Recorder;
  readonly answering?: (server: DatabaseServer, id: string, text: string) => Answering | undefined;
}

export interface Database {
  readonly name: string;
  readonly servers: DatabaseServer[];
  readonly runs: Run[];
  readonly promote: (id: string) => 200 | 409;
  readonly join: (zone: string) => Promise<DatabaseServer>;
  readonly close: () => void;
}

const HEARTBEAT_MS = 1_200;
const PROMOTE_MS = 300;
const LAG_MS = 40;
const SAME_ZONE_MS = 0.5;
const OTHER_REGION_MS = 12;
/** Longer texts and data are kept in part; no case reads them again. */
const MAX_KEPT_LENGTH = 4_096;

export async function startDatabase(options: DatabaseOptions): Promise<Database> {
  const { name, ip, zones } = options;
  const runs: Run[] = [];
  const servers: DatabaseServer[] = [];
  const database: Database = { name, servers, runs, promote, join, close };
  for (const [index, zone] of zones.entries()) await addServer(zone, index);
  return database;

  async function addServer(zone: string, index: number): Promise<DatabaseServer> {
    const listener = createServer();
    await new Promise<void>((resolve) => listener.listen(0, ip, resolve));
    const bound = listener.address();
    const port = typeof bound === 'object' && bound ? bound.port : 0;
    const server: DatabaseServer = {
      id: `i-${name}-${index}`,
      zone,
      address: `${ip}:${port}`,
      role: index === 0 ? 'primary' : 'replica',
      log: [{ term: 1, writes: [] }],
      term: 1,
      heldTerm: 0,
      isDeaf: false,
      isDark: false,
      seq: 0,
      bornMs: Date.now(),
      sockets: new Set(),
      listener,
      state: 'ready',
      leaveAcknowledgedAtMs: undefined,
    };
    servers.push(server);
    listener.on('connection', (socket) => {
      serve(options, database, server, socket);
    });
    return server;
  }

  /** Starts a replica that has all commits, and receives from now on. */
  async function join(zone: string): Promise<DatabaseServer> {
    const server = await addServer(zone, servers.length);
    const primary = servers.find(({ role }) => role === 'primary');
    if (primary) replicate(primary, server);
    return server;
  }

  function promote(id: string): 200 | 409 {
    const chosen = servers.find((server) => server.id === id);
    if (!chosen) return 409;
    const newest = Math.max(...servers.map(({ term }) => term));
    if (chosen.role === 'primary' && chosen.term === newest) return 200;
    setTimeout(() => {
      const term = Math.max(...servers.map((server) => server.term)) + 1;
      for (const server of servers) server.role = 'replica';
      chosen.role = 'primary';
      chosen.term = term;
      chosen.heldTerm = 0;
      chosen.log.push({ term, writes: [] });
      for (const server of servers) replicate(chosen, server);
      options.recorder.note(`database: ${id} leads term ${term}`);
    }, PROMOTE_MS);
    return 200;
  }

  function close(): void {
    for (const { listener, sockets } of servers) {
      listener.close();
      for (const socket of sockets) socket.destroy();
    }
  }
}

function replicate(from: DatabaseServer, to: DatabaseServer, length = from.log.length): boolean {
  if (from === to || to.isDeaf || to.isDark || to.heldTerm > from.term) return false;
  if (to.term === from.term && to.log.length >= length) return true;
  to.log = from.log.slice(0, length);
  to.term = from.term;
  return true;
}

function positionOf({ log }: DatabaseServer): string {
  return `${log.at(-1)?.term ?? 0}.${log.length}`;
}

function hasPosition(server: DatabaseServer, position: string): boolean {
  const [term = 0, number = 0] = position.split('.').map(Number);
  const own = server.log.at(-1)?.term ?? 0;
  return own > term || (own === term && server.log.length >= number);
}

function serve(
  options: DatabaseOptions,
  database: Database,
  server: DatabaseServer,
  socket: Socket,
): void {
  const session: Session = {
    tenant: '',
    isOpen: false,
    values: new Map(),
    prepared: new Map(),
    transaction: undefined,
    hasFailed: false,
  };
  server.sockets.add(socket);
  socket.setNoDelay(true);
  socket.on('error', () => socket.destroy());
  socket.on('close', () => server.sockets.delete(socket));
  let queue = Promise.resolve();
  readLines(socket, (line) => {
    queue = queue.then(() => handle(options, database, server, session, socket, line));
  });
}

function isSilent({ isDark }: DatabaseServer): boolean {
  return isDark;
}

function readyLine(server: DatabaseServer, session: Session): string {
  const state = session.hasFailed ? 'E' : session.transaction ? 'T' : 'I';
  return `READY ${state} ${positionOf(server)}\r\n`;
}

async function handle(
  options: DatabaseOptions,
  database: Database,
  server: DatabaseServer,
  session: Session,
  socket: Socket,
  line: string,
): Promise<void> {
  const [keyword = '', first = '', rest = ''] = fieldsOf(line, 2);
  if (keyword === 'START') {
    const [tenant = '', id = server.id] = rest.split(' ');
    if (first !== database.name || id !== server.id) {
      socket.end(`ERR MISROUTED ${server.id}\r\n`);
      return;
    }
    if (server.isDark) return;
    session.tenant = tenant;
    session.isOpen = true;
    socket.write(readyLine(server, session));
    return;
  }
  if (keyword === 'BYE' || !session.isOpen) {
    socket.end();
    return;
  }
  if (keyword !== 'QUERY' || server.isDark) return;
  const answer = await answerQuery(options, database, server, session, first, rest);
  if (socket.destroyed || isSilent(server)) return;
  const isSent = socket.write(answer, 'latin1');
  if (!isSent) await new Promise((resolve) => socket.once('drain', resolve).once('close', resolve));
}

async function answerQuery(
  options: DatabaseOptions,
  database: Database,
  server: DatabaseServer,
  session: Session,
  id: string,
  fullText: string,
): Promise<string> {
  const end = () => readyLine(server, session);
  const fail = (code: string) => {
    if (session.transaction) session.hasFailed = true;
    return `ERR ${code} ${server.id}\r\n${end()}`;
  };
  let text = fullText;
  if (text.startsWith('AFTER ')) {
    const [, position = '', rest = ''] = fieldsOf(text, 2);
    if (!hasPosition(server, position)) return fail('LAGGING');
    text = rest;
  }
  const [keyword = '', first = '', rest = ''] = fieldsOf(text, 2);
  if (session.hasFailed && keyword !== 'ROLLBACK' && keyword !== 'COMMIT') return fail('MALFORMED');
  const status = () =>
    `ROW ${server.role} ${server.term} ${positionOf(server)} ${server.heldTerm} 0 0 ${server.sockets.size}\r\nDONE -\r\n${end()}`;
  switch (keyword) {
    case 'STATUS':
      return status();
    case 'PAUSE':
      if (server.role === 'replica') server.heldTerm = Math.max(server.heldTerm, Number(first));
      return status();
    case 'RESUME':
      server.heldTerm = 0;
      return status();
    case 'DEMOTE':
      if (server.term < Number(first)) {
        server.role = 'replica';
        server.heldTerm = Number(first);
      }
      return status();
    case 'SET':
      session.values.set(first, rest);
      return `DONE -\r\n${end()}`;
    case 'RESET':
      session.values.clear();
      session.prepared.clear();
      return `DONE -\r\n${end()}`;
    case 'PREPARE': {
      const [access = '', shape = ''] = fieldsOf(rest, 1);
      session.prepared.set(first, { access, shape });
      return `DONE -\r\n${end()}`;
    }
    case 'DEALLOC':
      session.prepared.delete(first);
      return `DONE -\r\n${end()}`;
    case 'BEGIN':
      if (first !== 'READ' && server.role !== 'primary') return fail('READONLY');
      session.transaction = { isReadOnly: first === 'READ', writes: [], term: server.term };
      return `DONE -\r\n${end()}`;
    case 'ROLLBACK':
      session.transaction = undefined;
      session.hasFailed = false;
      return `DONE -\r\n${end()}`;
    default:
  }
  return runStatement(options, database, server, session, id, text);
}

async function runStatement(
  options: DatabaseOptions,
  database: Database,
  server: DatabaseServer,
  session: Session,
  id: string,
  text: string,
): Promise<string> {
  const end = () => readyLine(server, session);
  const [keyword = '', first = '', rest = ''] = fieldsOf(text, 2);
  const prepared = keyword === 'EXEC' ? session.prepared.get(first) : undefined;
  if (keyword === 'EXEC' && !prepared) return `ERR NOSTMT ${first}\r\n${end()}`;
  const access = prepared?.access ?? keyword;
  const [item = '', data = ''] = prepared ? fieldsOf(rest, 1) : [first, rest];
  const { transaction } = session;
  const needsLead = access === 'WRITE' || (transaction !== undefined && !transaction.isReadOnly);
  const wroteNothing = access === 'COMMIT' && transaction?.writes.length === 0;
  const hasLead = server.role === 'primary' && (transaction?.term ?? server.term) === server.term;
  if (needsLead && !hasLead && !wroteNothing) {
    if (transaction) session.hasFailed = true;
    return `ERR READONLY ${server.id}\r\n${end()}`;
  }
  const note = () => {
    const values = Object.fromEntries(session.values);
    const position = positionOf(server);
    const { tenant } = session;
    const start = copyOfStart(text, MAX_KEPT_LENGTH);
    const about = { server: server.id, id, text: start, tenant, values, position };
    database.runs.push({ ...about, atMs: performance.now() });
    options.recorder.note(`server ${server.id} ran ${id} for ${tenant}: ${start}`);
  };
  const answering = options.answering?.(server, id, text);
  if (access === 'READ') {
    note();
    const found = server.log
      .flatMap(({ writes }) => writes)
      .findLast((write) => write.item === item);
    const rows = answering?.rows ?? [found?.data ?? 'none'];
    await delay(answering?.delayMs ?? options.workMs);
    const lines = rows.map((row) => `ROW ${row}\r\n`).join('');
    return `${lines}DONE ${signatureOf(server, id)}\r\n${end()}`;
  }
  await delay(answering?.delayMs ?? options.workMs);
  note();
  if (access === 'WRITE') {
    const write = { id, item, data: copyOfStart(data, MAX_KEPT_LENGTH) };
    if (transaction) transaction.writes.push(write);
    else await commit(database, server, [write]);
    return `DONE ${signatureOf(server, id)}\r\n${end()}`;
  }
  if (access === 'COMMIT') {
    const writes = transaction?.writes ?? [];
    session.transaction = undefined;
    session.hasFailed = false;
    if (writes.length > 0) await commit(database, server, writes);
    return `DONE ${signatureOf(server, id)}\r\n${end()}`;
  }
  return `ERR MALFORMED ${keyword}\r\n${end()}`;
}

let signatureCount = 0;

function signatureOf({ id }: DatabaseServer, tag: string): string {
  signatureCount += 1;
  return `${tag}.${id}.${signatureCount}`;
}

/** Appends a commit; returns once one replica has received it (SyncReplicas 1), or the server has lost the lead. */
async function commit(
  { servers }: Database,
  server: DatabaseServer,
  writes: readonly Write[],
): Promise<void> {
  server.log.push({ term: server.term, writes });
  const length = server.log.length;
  const { term } = server;
  let received = 0;
  for (const other of servers) {
    if (other === server) continue;
    void delay(other.zone === server.zone ? SAME_ZONE_MS : OTHER_REGION_MS).then(() => {
      // What a server that goes dark has sent has not arrived yet.
      if (server.isDark || server.term !== term) return;
      if (replicate(server, other, length)) received += 1;
    });
  }
  let sinceMs = performance.now();
  while (received === 0 && server.term === term) {
    await delay(1);
    if (server.isDark || performance.now() - sinceMs < LAG_MS) continue;
    sinceMs = performance.now();
    for (const other of servers) if (replicate(server, other)) received += 1;
  }
}

/** Sends heartbeats of all servers until the returned function is called. */
export function announce(
  database: Database,
  controls: readonly string[],
  slots: number,
  skipped?: (server: DatabaseServer) => boolean,
): () => void {
  let turn = 0;
  const beat = () => {
    for (const server of database.servers) {
      if (server.isDark || skipped?.(server) === true) continue;
      server.seq += 1;
      const body = JSON.stringify({
        ...{ Service: database.name, Addr: server.address, Zone: server.zone, Version: 'v1' },
        ...{
          Slots: slots,
          State: server.state,
          ColdLeftMs: 0,
          DbRole: server.role,
          Seq: server.seq,
        },
        born: server.bornMs,
      });
      turn += 1;
      const isLeaving = server.state === 'draining';
      const address = controls[turn % controls.length] ?? '';
      const noteAcknowledged = (status: number | undefined) => {
        if (status === 200 && isLeaving) server.leaveAcknowledgedAtMs ??= performance.now();
      };
      void call(address, 'PUT', `/-/instances/${server.id}`, body, 1_000).then(async (reply) => {
        noteAcknowledged(reply?.status);
        if (reply?.status === 200) return;
        const next = controls[(turn + 1) % controls.length] ?? '';
        const second = await call(next, 'PUT', `/-/instances/${server.id}`, body, 1_000);
        noteAcknowledged(second?.status);
      });
    }
  };
  beat();
  const timer = setInterval(beat, HEARTBEAT_MS);
  return () => {
    clearInterval(timer);
  };
}
