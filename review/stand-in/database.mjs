/* eslint-disable @typescript-eslint/no-unnecessary-condition, @typescript-eslint/no-unsafe-argument, @typescript-eslint/no-unsafe-assignment, @typescript-eslint/no-unsafe-call, @typescript-eslint/no-unsafe-member-access, @typescript-eslint/no-unsafe-return, @typescript-eslint/prefer-nullish-coalescing, @typescript-eslint/restrict-plus-operands, @typescript-eslint/restrict-template-expressions -- plain JavaScript without types */
/**
 * Stand-ins for the platform and its database servers, after PROTOCOL: one primary and its replicas,
 * commits that are acknowledged once one replica has received them, and promotions.
 */
import { createServer as createHttpServer } from 'node:http';
import { createServer } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { send } from './cluster.mjs';

export const PROMOTE_MS = 300;
const HEARTBEAT_MS = 1_200;

/** A service with its servers; `record` is called with what happens. */
export function createService(name, record, { workMs = 5 } = {}) {
  const service = {
    name,
    record,
    workMs,
    term: 1,
    fence: 0,
    primary: undefined,
    servers: [],
    /** Called when a server starts to lead. */
    onPromoted: () => undefined,
    /** Called when the platform accepts an order to promote. */
    onOrdered: () => undefined,
    /** Called with `{ server, connection, id, text }` when a read, write or commit runs. */
    onRun: () => undefined,
  };
  return service;
}

/** Adds a server; the first one is the primary. `receiveMs` is the delay of replication to it. */
export async function addServer(service, id, zone, host, { receiveMs = 12, applyMs = 8 } = {}) {
  const server = {
    service,
    id,
    zone,
    receiveMs,
    applyMs,
    born: Date.now(),
    seq: 0,
    state: 'ready',
    /** Neither answers nor receives, as if it had no power. */
    isDark: false,
    /** Receives no commits. */
    isDeaf: false,
    heldTerm: 0,
    term: 1,
    log: [],
    appliedCount: 0,
    connections: new Set(),
    onReceived: new Set(),
    slots: 5,
  };
  const listener = createServer((socket) => {
    serveConnection(server, socket);
  });
  await new Promise((done) => listener.listen(0, host, done));
  server.address = `${host}:${listener.address().port}`;
  server.listener = listener;
  service.servers.push(server);
  service.primary ??= server;
  if (service.primary !== server) replicate(service, server);
  return server;
}

export function closeService(service) {
  for (const { listener, connections } of service.servers) {
    listener.close();
    for (const { socket } of connections) socket.destroy();
  }
}

export function roleOf(server) {
  return server.service.primary === server ? 'primary' : 'replica';
}

function positionOf(server, count = server.log.length) {
  const last = server.log[count - 1];
  return last ? `${last.term}.${last.number}` : '1.0';
}

/** Replication: a replica receives what the primary has, after its delay, and applies it later. */
function replicate(service, replica) {
  const { primary } = service;
  const upTo = primary.log.length;
  setTimeout(() => {
    const isCut = replica.isDark || replica.isDeaf || replica.heldTerm > 0 || primary.isDark;
    if (isCut || service.primary !== primary || replica === primary) return;
    if (replica.log.length >= upTo) return;
    replica.log = primary.log.slice(0, upTo);
    for (const wake of [...primary.onReceived]) wake();
    setTimeout(() => {
      replica.appliedCount = Math.min(Math.max(replica.appliedCount, upTo), replica.log.length);
    }, replica.applyMs);
  }, replica.receiveMs);
}

function replicateToAll(service) {
  for (const server of service.servers) if (server !== service.primary) replicate(service, server);
}

/** Lets a server receive again what it has missed. */
export function endDeafness(server) {
  server.isDeaf = false;
  replicateToAll(server.service);
}

/** Appends commits and waits until one replica has received them; false if the lead was lost. */
async function commit(server, writes) {
  const { service } = server;
  if (writes.length === 0) return true;
  const number = server.log.length + 1;
  server.log = [...server.log, { term: service.term, number, writes }];
  server.appliedCount = server.log.length;
  replicateToAll(service);
  const entry = server.log[number - 1];
  const isHeld = () =>
    service.servers.some((other) => other !== server && other.log[number - 1] === entry);
  while (!isHeld()) {
    await new Promise((wake) => {
      server.onReceived.add(wake);
      setTimeout(wake, 50);
    });
    server.onReceived.clear();
    if (service.primary !== server || server.isDark) return false;
  }
  return service.primary === server && !server.isDark;
}

function serveConnection(server, socket) {
  const connection = { socket, who: '', values: {}, prepared: {}, transaction: undefined };
  let pending = '';
  let hasFailed = false;
  let queue = Promise.resolve();
  server.connections.add(connection);
  socket.setNoDelay(true);
  socket.on('error', () => socket.destroy());
  socket.on('close', () => server.connections.delete(connection));
  socket.on('data', (chunk) => {
    const parts = (pending + chunk.toString('latin1')).split('\r\n');
    pending = parts.pop();
    for (const line of parts) queue = queue.then(() => handle(line));
  });

  function write(text) {
    if (!server.isDark && !socket.destroyed) socket.write(text, 'latin1');
  }

  function ready() {
    const state = hasFailed ? 'E' : connection.transaction ? 'T' : 'I';
    return `READY ${state} ${positionOf(server, server.appliedCount)}\r\n`;
  }

  async function handle(line) {
    if (server.isDark) return;
    const [word, first, ...rest] = line.split(' ');
    if (word === 'BYE') socket.end();
    if (word === 'START') {
      connection.who = rest[0];
      const isExpected = rest[1] === undefined || rest[1] === server.id;
      if (first === server.service.name && isExpected) write(ready());
      else socket.end('ERR MISROUTED another server\r\n');
    }
    if (word !== 'QUERY') return;
    const answer = await answerQuery(first, rest.join(' '));
    if (answer === undefined) socket.destroy();
    else write(answer + ready());
  }

  async function answerQuery(id, text) {
    const { service } = server;
    const [word, first = '', ...rest] = text.split(' ');
    const status = () =>
      `ROW ${roleOf(server)} ${server.term} ${positionOf(server)} ${server.heldTerm} 0 0 ` +
      `${server.connections.size}\r\nDONE -\r\n`;
    const isLed = service.primary === server;
    switch (word) {
      case 'AFTER': {
        const [term, number] = first.split('.').map(Number);
        const have = positionOf(server, server.appliedCount).split('.').map(Number);
        const hasIt = have[0] > term || (have[0] === term && have[1] >= number);
        return hasIt ? answerQuery(id, rest.join(' ')) : `ERR LAGGING ${server.id}\r\n`;
      }
      case 'STATUS':
        return status();
      case 'PAUSE':
        if (!isLed && Number(first) > service.term) server.heldTerm = Number(first);
        return status();
      case 'RESUME':
        server.heldTerm = 0;
        if (!isLed) replicate(service, server);
        return status();
      case 'DEMOTE':
        if (isLed && Number(first) > service.term) {
          service.record(`${server.id} gives up the lead`);
          service.primary = undefined;
        }
        return status();
      case 'SET':
        connection.values[first] = rest.join(' ');
        return 'DONE -\r\n';
      case 'RESET':
        connection.values = {};
        connection.prepared = {};
        return 'DONE -\r\n';
      case 'PREPARE':
        connection.prepared[first] = { access: rest[0], shape: rest.slice(1).join(' ') };
        return 'DONE -\r\n';
      case 'BEGIN':
        if (first !== 'READ' && !isLed) return `ERR READONLY ${server.id}\r\n`;
        connection.transaction = { isReadOnly: first === 'READ', writes: [] };
        return 'DONE -\r\n';
      case 'ROLLBACK':
        connection.transaction = undefined;
        hasFailed = false;
        return 'DONE -\r\n';
      default:
        return runStatement(id, text, word, first, rest);
    }
  }

  async function runStatement(id, text, word, first, rest) {
    const { service } = server;
    const prepared = word === 'EXEC' ? connection.prepared[first] : undefined;
    if (word === 'EXEC' && !prepared) return 'ERR NOSTMT unknown\r\n';
    const access = prepared?.access ?? word;
    const [item, data] = prepared ? [rest[0], rest.slice(1).join(' ')] : [first, rest.join(' ')];
    await delay(service.workMs);
    const { transaction } = connection;
    const hasLostLead = service.primary !== server && !transaction?.isReadOnly;
    const needsLead = access === 'WRITE' || (transaction && !transaction.isReadOnly);
    if (hasLostLead && needsLead) {
      if (access === 'COMMIT' && transaction.writes.length === 0)
        connection.transaction = undefined;
      else {
        if (transaction) hasFailed = true;
        return `ERR READONLY ${server.id}\r\n`;
      }
    }
    service.onRun({ server, connection, id, text, access, item });
    if (access === 'COMMIT') {
      const isKept = await commit(server, transaction?.writes ?? []);
      connection.transaction = undefined;
      return isKept ? `DONE sig-${id}\r\n` : undefined;
    }
    if (access === 'WRITE') {
      const write = { id, item, data };
      if (transaction) transaction.writes.push(write);
      else if (!(await commit(server, [write]))) return undefined;
      return `DONE sig-${id}\r\n`;
    }
    const writes = server.log.slice(0, server.appliedCount).flatMap((entry) => entry.writes);
    const found = [...writes, ...(transaction?.writes ?? [])].findLast((w) => w.item === item);
    return `ROW ${found?.data ?? 'none'}\r\nDONE sig-${id}\r\n`;
  }
}

/** Whether the log of a server holds the write with an id. */
export function holds(server, id) {
  return server.log.some(({ writes }) => writes.some((write) => write.id === id));
}

/** The platform's call that promotes a server. */
export function startPlatform(address, services, record) {
  const [host, port] = address.split(':');
  const listener = createHttpServer((request, response) => {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => {
      const { Service, Id } = JSON.parse(Buffer.concat(chunks).toString());
      const token = Number(request.headers['bramleykeel-fence-token']);
      const holder = request.headers['bramleykeel-duty-holder'];
      const service = services.find(({ name }) => name === Service);
      const status = service ? order(service, Id, token) : 409;
      record(`promote ${Id} of ${Service}, token ${token}, by ${holder}: ${status}`);
      response.writeHead(status).end();
    });
  });

  function order(service, id, token) {
    const server = service.servers.find((each) => each.id === id);
    if (token < service.fence || !server || server.isDark) return 409;
    service.fence = token;
    if (service.primary === server) return 200;
    service.onOrdered(server);
    setTimeout(() => {
      if (service.primary === server || token < service.fence) return;
      service.term += 1;
      service.primary = server;
      server.term = service.term;
      server.heldTerm = 0;
      server.appliedCount = server.log.length;
      record(`${id} leads ${service.name} in term ${service.term} at ${positionOf(server)}`);
      service.onPromoted(server);
      for (const other of service.servers) {
        if (other === server) continue;
        other.term = service.term;
        const isPrefix = other.log.every((entry, index) => server.log[index] === entry);
        if (!isPrefix) other.log = server.log.slice(0, other.log.length);
        other.appliedCount = Math.min(other.appliedCount, other.log.length);
        if (other.heldTerm <= service.term) other.heldTerm = 0;
        for (const wake of [...other.onReceived]) wake();
      }
      replicateToAll(service);
      for (const each of service.servers) each.beat?.();
    }, PROMOTE_MS);
    return 200;
  }

  return new Promise((done) => {
    listener.listen(Number(port), host, () => {
      done(listener);
    });
  });
}

/** Sends the heartbeats of a server to daemons that serve control, until the returned call. */
export function announce(cluster, server) {
  let next = Math.floor(Math.random() * cluster.core.length);
  const beat = async () => {
    if (server.isDark) return;
    server.seq += 1;
    const body = {
      Service: server.service.name,
      Addr: server.address,
      Zone: server.zone,
      Version: 'v1',
      Slots: server.slots,
      State: server.state,
      ColdLeftMs: 0,
      DbRole: roleOf(server),
      Seq: server.seq,
      born: server.born,
    };
    let attempts = cluster.core.length;
    while (attempts > 0) {
      attempts -= 1;
      const node = cluster.core[next % cluster.core.length];
      const { status } = await send(node.control, 'PUT', `/-/instances/${server.id}`, body);
      if (status >= 200 && status < 300) return;
      next += 1;
    }
  };
  server.beat = () => void beat();
  void beat();
  const timer = setInterval(() => void beat(), HEARTBEAT_MS);
  return () => {
    clearInterval(timer);
  };
}

/** A configuration with one database of each kind for each service. */
export function createConfig(version, services, change = {}) {
  const route = (name, host, type, service, extra) => ({
    Name: name,
    Host: host,
    PathPrefix: '/',
    Type: type,
    TimeoutMs: 1000,
    SloMs: 500,
    Prio: 1,
    Service: service,
    MaxAttempts: 2,
    Public: false,
    ...extra,
  });
  return {
    Version: version,
    Routes: services.flatMap(({ name }) => [
      route(`r-${name}-p`, `${name}-primary`, 'primary', name, {}),
      route(`r-${name}-b`, `${name}-bounded`, 'bounded_staleness', name, { MaxStalenessMs: 1500 }),
      route(`r-${name}-o`, `${name}-own`, 'read_your_writes', name, { MaxStalenessMs: 2500 }),
    ]),
    Services: services.map(({ name }) => {
      const common = { Name: name, HealthPath: '/health', MaxConns: 34, Proto: 'h1', Tls: false };
      return { ...common, SyncReplicas: 1 };
    }),
    Limits: {
      MaxHeaderBytes: 16384,
      MaxBodyBytes: 262144,
      HeaderTimeoutMs: 3000,
      IdleTimeoutMs: 15000,
      TxIdleMs: 3000,
    },
    Tenants: [
      { Name: 'crew', ApiKeys: ['key-of-crew'], Prio: 1, RatePerS: 500, Burst: 500 },
      { Name: 'desk', ApiKeys: ['key-of-desk'], Prio: 1, RatePerS: 500, Burst: 500 },
    ],
    ...change,
  };
}
