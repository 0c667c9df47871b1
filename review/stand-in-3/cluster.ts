/** The users' platform: machines on loopback addresses, each with a control member and an entry as processes. */
import { type ChildProcess, spawn } from 'node:child_process';
import { mkdirSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { request as httpRequest } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import type { Recorder } from './record.js';
import { hostAndPort } from './wire.js';

export type Role = 'control' | 'entry';

export interface Machine {
  readonly name: string;
  readonly ip: string;
  readonly zone: string;
  readonly front: string;
  readonly ready: string;
  readonly control: string;
}

export interface EndedProcess {
  readonly machine: string;
  readonly role: Role;
  readonly how: string;
}

export interface Cluster {
  readonly folder: string;
  readonly machines: readonly Machine[];
  /** Processes that ended without a signal of the case. */
  readonly ended: EndedProcess[];
  readonly processOf: (machine: string, role: Role) => ChildProcess | undefined;
  readonly logOf: (machine: string, role: Role) => string;
  /** Sends SIGKILL; the platform starts the process again after `downMs`. */
  readonly kill: (machine: string, role: Role, downMs: number) => void;
  /** Sends SIGTERM, and SIGKILL after `GraceS`; the process starts again once it has ended. */
  readonly terminate: (machine: string, role: Role, startsAgain: boolean) => void;
  readonly stop: () => Promise<void>;
}

/** Addresses 127.77.N.1 and so on, one for each machine of a case. */
export function ipOf(net: number, index: number): string {
  return `127.77.${net}.${index + 1}`;
}

const RESTART_DELAY_MS = 500;
export const GRACE_S = 6;

const BOUNDS = {
  ...{ SeedLagS: 3, AddrReuseS: 2, ContactMs: 5000, AckMs: 6000, CatchupS: 4, DrainMs: 7000 },
  ...{ GraceS: GRACE_S, LossSlackMs: 200, ConfigApplyMs: 3000, DowngradeMs: 250 },
  ...{ OuterMs: 15000, RevokeStrict: true, RevokeMs: 5000, QuotaWindowS: 5, QuotaExcess: 0.1 },
  ...{ QuotaSlack: 20, RecoveryS: 12, Fencing: true, ThawMs: 300 },
};

export interface ClusterOptions {
  readonly net: number;
  readonly zones: readonly string[];
  /** Address of the platform's calls. */
  readonly cloud: string;
  readonly recorder: Recorder;
  readonly memoryMb?: number;
}

export async function startCluster(options: ClusterOptions): Promise<Cluster> {
  const { net, zones, cloud, recorder } = options;
  const folder = mkdtempSync(join(tmpdir(), 'review-3-'));
  const ips = zones.map((_zone, index) => ipOf(net, index));
  const [front = 0, ready = 0, control = 0] = await freePorts(ips, 3);
  const own = await freeRange(ips, 16);
  const machines = zones.map((zone, index): Machine => {
    const ip = ips[index] ?? '';
    const name = `front-${zone}-${index + 1}`;
    const at = (port: number) => `${ip}:${port}`;
    return { name, ip, zone, front: at(front), ready: at(ready), control: at(control) };
  });
  const roles = readRoles();
  const ended: EndedProcess[] = [];
  const children = new Map<string, ChildProcess>();
  const expected = new Set<ChildProcess>();
  let isStopping = false;

  const keyOf = (machine: string, role: Role) => `${machine} ${role}`;
  const logFileOf = (machine: string, role: Role) => join(folder, `${machine}-${role}.log`);

  function start(machine: Machine, role: Role, isFirstStart: boolean): void {
    const { command, template } = roles[role];
    const hasDisk = machines.indexOf(machine) < 3;
    const dataFolder = hasDisk ? join(folder, `${machine.name}-data`) : '';
    if (hasDisk) mkdirSync(dataFolder, { recursive: true });
    const fields = {
      ...{ Node: machine.name, Role: role, Class: 'front', Ip: machine.ip, Zone: machine.zone },
      Zones: Object.fromEntries([...new Set(zones)].map((zone) => [zone, `region-${zone}`])),
      Listen: { Front: machine.front, ReadyAddr: machine.ready, Control: machine.control },
      PortRange: [own, own + 15],
      Seeds: machines.slice(0, 3).map((each) => each.control),
      FirstStart: isFirstStart,
      Limits: { CpuShare: 0.608, Cpus: 2, MemoryMb: 350, MaxFds: 4200, LinkMbps: 1000, DiskMb: 64 },
      DataDir: dataFolder,
      Policies: ['base', 'drain', 'config', 'cost', 'recover', 'sql', 'tenants', 'quota'],
      FaultTolerance: { Machines: 1, Zones: 0, Regions: 0 },
      Bounds: BOUNDS,
      CloudApi: { Addr: cloud, RatePerS: 50, Duties: ['failover'], DutyPerS: 50 },
    };
    const file = join(folder, `${machine.name}-${role}.settings`);
    writeFileSync(file, render(readFileSync(template, 'utf8'), fields));
    const log = openSync(logFileOf(machine.name, role), 'a');
    const [program = '', ...args] = command.split(' ');
    const child = spawn(program, args, {
      stdio: ['ignore', log, log],
      env: { PATH: process.env.PATH, HOME: folder, LANG: 'C', BRAMLEYKEEL_SETTINGS: file },
    });
    children.set(keyOf(machine.name, role), child);
    child.once('exit', (code, signal) => {
      const how = signal ?? `exit ${code ?? ''}`;
      recorder.note(`platform: ${machine.name} ${role} (process ${child.pid ?? 0}) ended: ${how}`);
      if (isStopping || expected.has(child)) return;
      ended.push({ machine: machine.name, role, how });
      setTimeout(() => {
        if (!isStopping) start(machine, role, false);
      }, RESTART_DELAY_MS);
    });
    recorder.note(`platform: ${machine.name} ${role} started (process ${child.pid ?? 0})`);
  }

  // The first machine of each of the first three zones has a disk, and runs control.
  for (const machine of machines.slice(0, 3)) start(machine, 'control', true);
  for (const machine of machines) start(machine, 'entry', true);

  const find = (name: string) => machines.find((machine) => machine.name === name);

  function endAndRestart(name: string, role: Role, signal: NodeJS.Signals, downMs: number): void {
    const child = children.get(keyOf(name, role));
    const machine = find(name);
    if (!child || !machine) return;
    expected.add(child);
    recorder.note(`platform: ${signal} to ${name} ${role}`);
    child.once('exit', () => {
      if (downMs < 0) return;
      setTimeout(() => {
        if (!isStopping) start(machine, role, false);
      }, downMs);
    });
    child.kill(signal);
    if (signal === 'SIGTERM') setTimeout(() => child.kill('SIGKILL'), GRACE_S * 1_000).unref();
  }

  return {
    folder,
    machines,
    ended,
    processOf: (machine, role) => children.get(keyOf(machine, role)),
    logOf: (machine, role) => readFileSync(logFileOf(machine, role), 'utf8'),
    kill: (machine, role, downMs) => {
      endAndRestart(machine, role, 'SIGKILL', downMs);
    },
    terminate: (machine, role, startsAgain) => {
      endAndRestart(machine, role, 'SIGTERM', startsAgain ? RESTART_DELAY_MS : -1);
    },
    stop: async () => {
      isStopping = true;
      const alive = [...children.values()].filter(
        ({ exitCode, signalCode }) => exitCode === null && signalCode === null,
      );
      await Promise.all(
        alive.map(
          (child) =>
            new Promise((resolve) => {
              child.once('exit', resolve);
              child.kill('SIGKILL');
            }),
        ),
      );
      rmSync(folder, { recursive: true, force: true });
    },
  };
}

/** The commands and templates of the deploy file. */
function readRoles(): Readonly<Record<Role, { command: string; template: string }>> {
  const text = readFileSync('deploy/system.toml', 'utf8');
  const of = (role: Role) => {
    const section = text.split(`[roles.${role}]`)[1]?.split('[roles.')[0] ?? '';
    const value = (key: string) => new RegExp(`^${key} = "(.*)"$`, 'm').exec(section)?.[1] ?? '';
    return { command: value('run'), template: value('template') };
  };
  return { control: of('control'), entry: of('entry') };
}

function lookUp(fields: unknown, path: string): unknown {
  let value: unknown = fields;
  for (const key of path.split('.')) {
    if (typeof value !== 'object' || value === null) return undefined;
    value = (value as Record<string, unknown>)[key];
  }
  return value;
}

/** Fills in a template; knows the forms that the deploy file of this repository uses. */
function render(template: string, fields: unknown): string {
  const withSections = template.replace(
    /\{\{#([\w.]+)\}\}([\s\S]*?)\{\{\/\1\}\}/g,
    (_all, name: string, body: string) =>
      Object.entries((lookUp(fields, name) ?? {}) as Record<string, string>)
        .map(([key, value]) => body.replaceAll('{{@}}', key).replaceAll('{{.}}', value))
        .join(''),
  );
  return withSections.replace(
    /\{\{([\w.]+)(\|json)?\}\}/g,
    (_all, path: string, json: string | undefined) => {
      const value = lookUp(fields, path);
      if (value === undefined || value === null) return '';
      if (json !== undefined) return JSON.stringify(value);
      return typeof value === 'string' ? value : JSON.stringify(value);
    },
  );
}

async function isFree(ip: string, port: number): Promise<boolean> {
  const server = createServer();
  return new Promise((resolve) => {
    server.once('error', () => {
      resolve(false);
    });
    server.listen(port, ip, () => {
      server.close(() => {
        resolve(true);
      });
    });
  });
}

async function areFree(ips: readonly string[], ports: readonly number[]): Promise<boolean> {
  for (const ip of ips) for (const port of ports) if (!(await isFree(ip, port))) return false;
  return true;
}

async function freePorts(ips: readonly string[], count: number): Promise<number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    const port = 20_000 + Math.floor(Math.random() * 8_000);
    if (!ports.includes(port) && (await areFree(ips, [port]))) ports.push(port);
  }
  return ports;
}

async function freeRange(ips: readonly string[], count: number): Promise<number> {
  for (;;) {
    const first = 10_000 + Math.floor(Math.random() * 9_000);
    const range = Array.from({ length: count }, (_value, index) => first + index);
    if (await areFree(ips, range)) return first;
  }
}

export interface HttpReply {
  readonly status: number;
  readonly body: string;
}

/** A call over HTTP; `undefined` without an answer in time. */
export function call(
  address: string,
  method: string,
  path: string,
  body: string | Buffer,
  timeoutMs: number,
): Promise<HttpReply | undefined> {
  const { host, port } = hostAndPort(address);
  return new Promise((resolve) => {
    const headers = {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
    };
    const options = { host, port, method, path, headers, agent: false };
    const request = httpRequest(options, (response) => {
      const chunks: Buffer[] = [];
      response.on('data', (chunk: Buffer) => chunks.push(chunk));
      response.on('error', () => {
        resolve(undefined);
      });
      response.on('end', () => {
        resolve({
          status: response.statusCode ?? 0,
          body: Buffer.concat(chunks).toString('utf8'),
        });
      });
    });
    request.setTimeout(timeoutMs, () => request.destroy());
    request.on('error', () => {
      resolve(undefined);
    });
    request.end(body);
  });
}

/** Sends a configuration until it is acknowledged, as the operator does. */
export async function putConfig(
  cluster: Cluster,
  config: unknown,
  recorder: Recorder,
): Promise<boolean> {
  const body = JSON.stringify(config);
  for (let attempt = 0; attempt < 60; attempt += 1) {
    const machine = cluster.machines[attempt % 3];
    const reply = machine && (await call(machine.control, 'PUT', '/-/config', body, 1_500));
    if (reply?.status === 200) {
      recorder.note(`operator: configuration acknowledged by ${machine?.name ?? ''}`);
      return true;
    }
    await delay(250);
  }
  return false;
}
