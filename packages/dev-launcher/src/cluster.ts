/** Starts, stops and signals the processes of a development cluster. */
import { type ChildProcess, spawn } from 'node:child_process';
import { appendFileSync, existsSync } from 'node:fs';
import { join } from 'node:path';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';
import { type ClusterPlan, customerChanges } from './cluster-plan.js';

export interface Cluster {
  readonly plan: ClusterPlan;
  readonly processes: Map<string, ChildProcess>;
  /** Starts a process of the plan by its name, as `entry-1`, `control-2` or `bookings-3`. */
  readonly start: (name: string) => Promise<void>;
  readonly signal: (name: string, signal: NodeJS.Signals) => void;
  /** Waits until a process has ended; returns its exit status. */
  readonly awaitExit: (name: string) => Promise<number | null>;
  readonly stopAll: () => Promise<void>;
}

const READY_TIMEOUT_MS = 15_000;
const STOP_TIMEOUT_MS = 15_000;
const CALL_RETRY_MS = 100;
const CALL_ATTEMPTS = 150;

function packageFile(file: string): string {
  return fileURLToPath(new URL(`../../${file}`, import.meta.url));
}

const DAEMON = packageFile('bramleykeel/dist/main.js');
const STAND_IN = packageFile('test-support/dist/stand-in-main.js');

/** Starts everything and gives the customers their rates and keys. */
export async function startCluster(plan: ClusterPlan): Promise<Cluster> {
  const cluster = createCluster(plan);
  if (!hasEarlierCluster(plan)) {
    for (const { settingsFile } of plan.control) {
      await runToEnd([DAEMON, 'init', '--settings', settingsFile]);
    }
  }
  await Promise.all(plan.control.map(({ id }) => cluster.start(id)));
  await Promise.all(plan.entries.map(({ id }) => cluster.start(id)));
  await Promise.all(plan.servers.map(({ server }) => cluster.start(server)));
  if (plan.options.customers.length > 0) await applySettings(plan, customerChanges(plan));
  return cluster;
}

/** Only a whole new cluster is set up: a member whose folder alone is missing has lost its disk. */
function hasEarlierCluster({ options, control }: ClusterPlan): boolean {
  return control.some(({ id }) => existsSync(join(options.dataFolder, id)));
}

/** What a process prints once it serves; its log lines stand on the same output. */
const READY_LINE = /^(entry|control|stand-in) \S+ ready$/;

/** Describes a cluster whose processes are started one by one. */
export function createCluster(plan: ClusterPlan): Cluster {
  const processes = new Map<string, ChildProcess>();
  const logFile = join(plan.options.dataFolder, 'processes.log');
  return { plan, processes, start, signal, awaitExit, stopAll };

  function argumentsOf(name: string): readonly string[] {
    const member = plan.control.find(({ id }) => id === name);
    if (member) return [DAEMON, 'control', '--settings', member.settingsFile];
    const entry = plan.entries.find(({ id }) => id === name);
    if (entry) return [DAEMON, 'entry', '--settings', entry.settingsFile];
    const server = plan.servers.find((candidate) => candidate.server === name);
    if (server) return [STAND_IN, ...server.args];
    throw new Error(`no process is named ${name}`);
  }

  function start(name: string): Promise<void> {
    const child = spawn(process.execPath, [...argumentsOf(name)], {
      stdio: ['ignore', 'pipe', 'pipe'],
      env: { ...process.env, DEBUG: process.env.DEBUG ?? 'bramleykeel:*' },
    });
    processes.set(name, child);
    return new Promise((resolve, reject) => {
      const timer = setTimeout(() => {
        reject(new Error(`${name} did not get ready in time; see ${logFile}`));
      }, READY_TIMEOUT_MS);
      child.once('exit', (code) => {
        clearTimeout(timer);
        if (processes.get(name) === child) processes.delete(name);
        reject(new Error(`${name} ended with status ${code ?? 'none'}; see ${logFile}`));
      });
      const keep = (line: string) => {
        appendFileSync(logFile, `${name} ${line}\n`);
      };
      createInterface({ input: child.stderr }).on('line', keep);
      createInterface({ input: child.stdout }).on('line', (line) => {
        keep(line);
        if (!READY_LINE.test(line)) return;
        clearTimeout(timer);
        resolve();
      });
    });
  }

  function signal(name: string, name_: NodeJS.Signals): void {
    processes.get(name)?.kill(name_);
  }

  function awaitExit(name: string): Promise<number | null> {
    const child = processes.get(name);
    if (!child) return Promise.resolve(null);
    return new Promise((resolve) => child.once('exit', resolve));
  }

  async function stopAll(): Promise<void> {
    const groups = [plan.entries.map(({ id }) => id), plan.control.map(({ id }) => id)];
    for (const names of [...groups, plan.servers.map(({ server }) => server)]) {
      await Promise.all(names.map(stopOne));
    }
  }

  async function stopOne(name: string): Promise<void> {
    const child = processes.get(name);
    if (!child) return;
    const ended = awaitExit(name);
    child.kill('SIGCONT');
    child.kill('SIGTERM');
    const timer = setTimeout(() => child.kill('SIGKILL'), STOP_TIMEOUT_MS);
    await ended;
    clearTimeout(timer);
  }
}

function runToEnd(args: readonly string[]): Promise<void> {
  return new Promise((resolve, reject) => {
    const child = spawn(process.execPath, [...args], { stdio: ['ignore', 'ignore', 'inherit'] });
    child.once('exit', (code) => {
      if (code === 0) resolve();
      else reject(new Error(`${args.join(' ')} ended with status ${code ?? 'none'}`));
    });
  });
}

/** Applies settings through any control member, waiting for a leader to be elected. */
export async function applySettings(
  plan: ClusterPlan,
  changes: readonly { readonly path: string; readonly value: unknown }[],
): Promise<number> {
  const operationId = `launcher-${Date.now()}-${Math.floor(Math.random() * 1e9)}`;
  const params = { operationId, baseRevision: null, changes };
  const result = (await callAnyMember(plan, 'settings/apply', params)) as { revision: number };
  return result.revision;
}

/** Calls an operators' method at the members in turn until one answers. */
export async function callAnyMember(
  plan: ClusterPlan,
  method: string,
  params: unknown,
): Promise<unknown> {
  let lastProblem = '';
  for (let attempt = 0; attempt < CALL_ATTEMPTS; attempt += 1) {
    const member = plan.control[attempt % plan.control.length];
    try {
      const response = await fetch(`http://${member?.adminAddress ?? ''}/v1/${method}`, {
        method: 'POST',
        headers: { authorization: `Bearer ${plan.operatorToken}` },
        body: JSON.stringify(params),
        signal: AbortSignal.timeout(30_000),
      });
      const body = await response.json();
      if (response.ok) return body;
      lastProblem = JSON.stringify(body);
      if (response.status !== 503) throw new Error(`${method} was refused: ${lastProblem}`);
    } catch (error) {
      if (error instanceof Error && error.message.startsWith(method)) throw error;
      lastProblem = String(error);
    }
    await new Promise((resolve) => setTimeout(resolve, CALL_RETRY_MS));
  }
  throw new Error(`${method} got no answer: ${lastProblem}`);
}
