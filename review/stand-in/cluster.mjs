/* eslint-disable @typescript-eslint/no-unsafe-argument, @typescript-eslint/no-unsafe-assignment, @typescript-eslint/no-unsafe-call, @typescript-eslint/no-unsafe-member-access, @typescript-eslint/no-unsafe-return, @typescript-eslint/restrict-plus-operands -- plain JavaScript without types */
/**
 * A small deployment on loopback addresses: the project's own programs as separate processes, started
 * with the commands of the deploy file, and stand-ins for the platform and its callers.
 */
import { spawn } from 'node:child_process';
import { mkdirSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { request as httpRequest } from 'node:http';
import { createServer, connect } from 'node:net';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';

const ROOT = resolve(import.meta.dirname, '../..');

const BOUNDS = { RevokeMs: 5000, GraceS: 6, QuotaExcess: 0.1, QuotaSlack: 20, QuotaWindowS: 5 };

/** The `run` commands of the roles in the deploy file. */
function readRunCommands() {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const commands = {};
  for (const [, role, body] of text.matchAll(/\[roles\.(\w+)\]([^[]*)/g)) {
    commands[role] = /run = "([^"]*)"/.exec(body)[1].split(' ');
  }
  return commands;
}

/** Fills in the placeholders of the settings template that the project uses. */
function renderTemplate(fields) {
  const template = readFileSync(join(ROOT, 'deploy/settings.toml.template'), 'utf8');
  const lookUp = (path) => path.split('.').reduce((value, key) => value?.[key], fields);
  return template
    .replace(/\{\{#(\w+)\}\}([\s\S]*?)\{\{\/\1\}\}/g, (_all, name, body) =>
      Object.entries(lookUp(name) ?? {})
        .map(([key, value]) => body.replaceAll('{{@}}', key).replaceAll('{{.}}', value))
        .join(''),
    )
    .replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_all, path, isJson) => {
      const value = lookUp(path);
      if (isJson) return JSON.stringify(value ?? null);
      return value === undefined ? '' : String(value);
    });
}

async function canListen(host, port) {
  const server = createServer();
  return new Promise((done) => {
    server.once('error', () => {
      done(false);
    });
    server.listen(port, host, () =>
      server.close(() => {
        done(true);
      }),
    );
  });
}

/** Loopback addresses and ports that nothing else uses. */
async function reserveNetwork() {
  for (;;) {
    const random = (from, to) => from + Math.floor(Math.random() * (to - from));
    const prefix = `127.${random(20, 250)}.${random(1, 250)}`;
    const firstPort = random(20_000, 30_000);
    if (await canListen(`${prefix}.1`, firstPort)) return { prefix, firstPort };
  }
}

/**
 * Starts the processes of `machines`, a list of `{ name, zone, isCore }`. A core machine has a disk and
 * runs control and an entry; the others run an entry only.
 */
export async function startCluster(machines, zones, record) {
  const folder = mkdtempSync(join(tmpdir(), 'review-'));
  const { prefix, firstPort } = await reserveNetwork();
  const ports = { front: firstPort, ready: firstPort + 1, control: firstPort + 2 };
  const commands = readRunCommands();
  const platformAddress = `${prefix}.250:${firstPort + 20}`;
  const nodes = machines.map((machine, index) => {
    const ip = `${prefix}.${index + 1}`;
    return { ...machine, ip, front: `${ip}:${ports.front}`, control: `${ip}:${ports.control}` };
  });
  const core = nodes.filter(({ isCore }) => isCore);
  const seeds = core.slice(0, 3).map(({ control }) => control);
  const processes = [];
  let isStopping = false;

  function startProcess(node, role, isFirstStart) {
    const home = join(folder, `${node.name}-${role}`);
    mkdirSync(home, { recursive: true });
    const settings = renderTemplate({
      Node: node.name,
      Role: role,
      Ip: node.ip,
      Zone: node.zone,
      FirstStart: isFirstStart,
      DataDir: node.isCore ? home : '',
      Limits: { LinkMbps: 1000 },
      Listen: {
        Front: role === 'entry' ? node.front : '',
        ReadyAddr: role === 'entry' ? `${node.ip}:${ports.ready}` : '',
        Control: role === 'control' ? node.control : '',
      },
      Seeds: seeds,
      PortRange: [firstPort + 5, firstPort + 20],
      CloudApi: { Addr: platformAddress },
      FaultTolerance: { Machines: 1 },
      Bounds: BOUNDS,
      Zones: zones,
    });
    const file = join(folder, `${node.name}-${role}.toml`);
    writeFileSync(file, settings);
    const output = openSync(join(folder, `${node.name}-${role}.log`), 'a');
    const [command, ...words] = commands[role];
    const { PATH, HOME, LANG } = process.env;
    const child = spawn(command, words, {
      cwd: ROOT,
      env: { PATH, HOME, LANG, BRAMLEYKEEL_SETTINGS: file },
      stdio: ['ignore', output, output],
    });
    const entry = { node, role, child, hasEnded: false, isEndExpected: false };
    processes.push(entry);
    child.on('exit', (code, signal) => {
      entry.hasEnded = true;
      if (isStopping) return;
      record(`${node.name}/${role} ended, code ${code}, signal ${signal}`);
      if (!entry.isEndExpected) cluster.onOwnEnd(entry, code);
    });
    return entry;
  }

  const cluster = {
    folder,
    prefix,
    firstPort,
    platformAddress,
    nodes,
    core,
    processes,
    onOwnEnd: () => undefined,
    startProcess,
    find: (name, role) =>
      processes.findLast((each) => each.node.name === name && each.role === role),
    kill: (entry, signal) => {
      entry.isEndExpected = true;
      entry.child.kill(signal);
    },
    logOf: (name, role) => readFileSync(join(folder, `${name}-${role}.log`), 'utf8'),
    readyAddress: (node) => `${node.ip}:${ports.ready}`,
    stop: async () => {
      isStopping = true;
      for (const { child, hasEnded } of processes) {
        if (hasEnded) continue;
        child.kill('SIGCONT');
        child.kill('SIGKILL');
      }
      while (processes.some(({ hasEnded }) => !hasEnded)) await delay(20);
      if (process.env.KEEP !== '1') rmSync(folder, { recursive: true, force: true });
    },
  };
  for (const node of core) startProcess(node, 'control', true);
  for (const node of nodes) startProcess(node, 'entry', true);
  return cluster;
}

/** Sends an HTTP request; resolves with the status, 0 if there was no answer within `timeoutMs`. */
export function send(address, method, path, body, timeoutMs = 1_000) {
  const [host, port] = address.split(':');
  return new Promise((done) => {
    const request = httpRequest({ host, port, method, path, timeout: timeoutMs }, (response) => {
      const chunks = [];
      response.on('data', (chunk) => chunks.push(chunk));
      response.on('error', () => {
        done({ status: 0, text: '' });
      });
      response.on('end', () => {
        done({ status: response.statusCode, text: Buffer.concat(chunks).toString() });
      });
    });
    request.on('timeout', () => request.destroy());
    request.on('error', () => {
      done({ status: 0, text: '' });
    });
    request.end(body === undefined ? undefined : JSON.stringify(body));
  });
}

/** Sends as the platform's callers of control do: to one daemon after the other until one answers. */
export async function sendToControl(cluster, method, path, body, isWanted = (s) => s === 200) {
  for (let attempt = 0; attempt < 40; attempt += 1) {
    const node = cluster.core[attempt % cluster.core.length];
    const answer = await send(node.control, method, path, body);
    if (isWanted(answer.status)) return answer;
    await delay(50 + attempt * 10);
  }
  return { status: 0, text: '' };
}

/** Puts the first configuration and waits until all entries are ready. */
export async function configure(cluster, config) {
  const answer = await sendToControl(cluster, 'PUT', '/-/config', config);
  if (answer.status !== 200) throw new Error('the configuration was not accepted');
  for (const node of cluster.nodes) {
    for (let attempt = 0; ; attempt += 1) {
      const ready = await send(cluster.readyAddress(node), 'GET', '/-/ready');
      if (ready.status === 200) break;
      if (attempt > 200) throw new Error(`${node.name} does not get ready`);
      await delay(50);
    }
  }
}

/** A caller's session. */
export async function openSession(address, database, key) {
  const [host, port] = address.split(':');
  const socket = connect({ host, port: Number(port), noDelay: true });
  let pending = '';
  let lines = [];
  let wake = () => undefined;
  let isClosed = false;
  socket.on('error', () => undefined);
  socket.on('close', () => {
    isClosed = true;
    wake();
  });
  socket.on('data', (chunk) => {
    const parts = (pending + chunk.toString('latin1')).split('\r\n');
    pending = parts.pop();
    lines.push(...parts);
    if (lines.some((line) => line.startsWith('READY'))) wake();
  });
  /** Sends a line; resolves with the answer's lines, without READY if the connection ended. */
  const ask = (line, timeoutMs = 15_000) =>
    new Promise((done) => {
      lines = [];
      const timer = setTimeout(() => {
        wake();
      }, timeoutMs);
      wake = () => {
        clearTimeout(timer);
        wake = () => undefined;
        done(lines);
      };
      if (isClosed) wake();
      else socket.write(`${line}\r\n`);
    });
  const session = {
    isClosed: () => isClosed,
    close: () => socket.destroy(),
    query: async (id, text) => {
      const answer = await ask(`QUERY ${id} ${text}`);
      const done = answer.find((line) => line.startsWith('DONE '));
      const error = answer.find((line) => line.startsWith('ERR '));
      const isComplete = answer.some((line) => line.startsWith('READY'));
      return {
        isDone: done !== undefined && isComplete,
        signature: done?.slice(5),
        code: error?.split(' ')[1] ?? (isComplete ? 'NONE' : 'CLOSED'),
        text: answer.join(' | '),
        rows: answer.filter((line) => line.startsWith('ROW ')).map((line) => line.slice(4)),
      };
    },
  };
  const started = await ask(key === undefined ? `START ${database}` : `START ${database} ${key}`);
  return started[0]?.startsWith('READY I') ? session : undefined;
}

/** Waits until a database is served by all entries. */
export async function awaitService(cluster, database, key) {
  for (const node of cluster.nodes) {
    for (let attempt = 0; ; attempt += 1) {
      const session = await openSession(node.front, database, key);
      const answer = await session?.query(`warm-${node.name}-${attempt}`, 'READ warm');
      session?.close();
      if (answer?.isDone) break;
      if (attempt > 100) throw new Error(`${node.name} does not serve ${database}`);
      await delay(100);
    }
  }
}
