/** Starts, stops and signals the processes of a development cluster. */
import { type ChildProcess, spawn } from 'node:child_process';
import { appendFileSync, existsSync } from 'node:fs';
import { join } from 'node:path';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';
import { type ClusterPlan, createCustomerChanges } from './cluster-plan.js';

export interface Cluster {
  readonly plan: ClusterPlan;
  readonly processes: Map<string, ChildProcess>;
  /** Starts a process of the plan by name, such as `entry-1`, `control-2` or `bookings-3`. */
  readonly start: (name: string) => Promise<void>;
  readonly signal: (name: string, signal: NodeJS.Signals) => void;
  /** Waits until a process has exited; returns its exit status. */
  readonly awaitExit: (name: string) => Promise<number | null>;
  readonly stopAll: () => Promise<void>;
}

const READY_TIMEOUT_MS = 15_000;
const STOP_TIMEOUT_MS = 15_000;
const CALL_RETRY_DELAY_MS = 100;
const MAX_CALL_ATTEMPTS = 150;

function resolvePackageFile(file: string): string {
  return fileURLToPath(new URL(`../../${file}`, import.meta.url));
}

const DAEMON_SCRIPT = resolvePackageFile('bramleykeel/dist/main.js');
const STAND_IN_SCRIPT = resolvePackageFile('test-support/dist/stand-in-main.js');

/** Starts all processes of the plan and applies the customers' rates and keys. */
export async function startCluster(plan: ClusterPlan): Promise<Cluster> {
  const cluster = createCluster(plan);
  if (!hasExistingMemberData(plan)) {
    for (const { settingsFile } of plan.control) {
      await runToCompletion([DAEMON_SCRIPT, 'init', '--settings', settingsFile]);
    }
  }
  await Promise.all(plan.control.map(({ id }) => cluster.start(id)));
  await Promise.all(plan.entries.map(({ id }) => cluster.start(id)));
  await Promise.all(plan.servers.map(({ server }) => cluster.start(server)));
  if (plan.options.customers.length > 0) await applySettings(plan, createCustomerChanges(plan));
  return cluster;
}

/**
 * Returns whether any control member has a data folder. Only a new cluster, in which none has one,
 * is initialized: a member whose folder alone is missing has lost its disk.
 */
function hasExistingMemberData({ options, control }: ClusterPlan): boolean {
  return control.some(({ id }) => existsSync(join(options.dataFolder, id)));
}

/** Line that a process prints to stdout once it is ready; stdout may contain log lines too. */
const READY_LINE = /^(entry|control|stand-in) \S+ ready$/;

/** Creates a cluster without starting its processes. */
export function createCluster(plan: ClusterPlan): Cluster {
  const processes = new Map<string, ChildProcess>();
  const logFile = join(plan.options.dataFolder, 'processes.log');
  return { plan, processes, start, signal, awaitExit, stopAll };

  function processArguments(name: string): readonly string[] {
    const daemon = [...(plan.options.daemonNodeOptions ?? []), DAEMON_SCRIPT];
    const member = plan.control.find(({ id }) => id === name);
    if (member) return [...daemon, 'control', '--settings', member.settingsFile];
    const entry = plan.entries.find(({ id }) => id === name);
    if (entry) return [...daemon, 'entry', '--settings', entry.settingsFile];
    const server = plan.servers.find((candidate) => candidate.server === name);
    if (server) return [STAND_IN_SCRIPT, ...server.args];
    throw new Error(`the plan has no process named ${name}`);
  }

  function start(name: string): Promise<void> {
    const child = spawn(process.execPath, [...processArguments(name)], {
      stdio: ['ignore', 'pipe', 'pipe'],
      env: { ...process.env, DEBUG: process.env.DEBUG ?? 'bramleykeel:*' },
    });
    processes.set(name, child);
    return new Promise((resolve, reject) => {
      const timer = setTimeout(() => {
        reject(new Error(`${name} was not ready in time; see ${logFile}`));
      }, READY_TIMEOUT_MS);
      child.once('exit', (code) => {
        clearTimeout(timer);
        if (processes.get(name) === child) processes.delete(name);
        reject(new Error(`${name} exited with status ${code ?? 'none'}; see ${logFile}`));
      });
      const appendToLog = (line: string) => {
        appendFileSync(logFile, `${name} ${line}\n`);
      };
      createInterface({ input: child.stderr }).on('line', appendToLog);
      createInterface({ input: child.stdout }).on('line', (line) => {
        appendToLog(line);
        if (!READY_LINE.test(line)) return;
        clearTimeout(timer);
        resolve();
      });
    });
  }

  function signal(name: string, signalName: NodeJS.Signals): void {
    processes.get(name)?.kill(signalName);
  }

  function awaitExit(name: string): Promise<number | null> {
    const child = processes.get(name);
    if (!child) return Promise.resolve(null);
    return new Promise((resolve) => child.once('exit', resolve));
  }

  async function stopAll(): Promise<void> {
    const groups = [plan.entries.map(({ id }) => id), plan.control.map(({ id }) => id)];
    for (const names of [...groups, plan.servers.map(({ server }) => server)]) {
      await Promise.all(names.map(stopProcess));
    }
  }

  async function stopProcess(name: string): Promise<void> {
    const child = processes.get(name);
    if (!child) return;
    const exited = awaitExit(name);
    child.kill('SIGCONT');
    child.kill('SIGTERM');
    const timer = setTimeout(() => child.kill('SIGKILL'), STOP_TIMEOUT_MS);
    await exited;
    clearTimeout(timer);
  }
}

function runToCompletion(args: readonly string[]): Promise<void> {
  return new Promise((resolve, reject) => {
    const child = spawn(process.execPath, [...args], { stdio: ['ignore', 'ignore', 'inherit'] });
    child.once('exit', (code) => {
      if (code === 0) resolve();
      else reject(new Error(`${args.join(' ')} exited with status ${code ?? 'none'}`));
    });
  });
}

/**
 * Applies settings through any control member, retrying until a leader is elected.
 *
 * @returns the new settings revision
 * @throws if the change is refused, or no member has answered after all attempts
 */
export async function applySettings(
  plan: ClusterPlan,
  changes: readonly { readonly path: string; readonly value: unknown }[],
): Promise<number> {
  const operationId = `launcher-${Date.now()}-${Math.floor(Math.random() * 1e9)}`;
  const params = { operationId, baseRevision: null, changes };
  const result = (await callAnyMember(plan, 'settings/apply', params)) as { revision: number };
  return result.revision;
}

/**
 * Calls an operator method on the control members in turn until one answers.
 *
 * @throws if the call is refused, or no member has answered after all attempts
 */
export async function callAnyMember(
  plan: ClusterPlan,
  method: string,
  params: unknown,
): Promise<unknown> {
  let lastError = '';
  for (let attempt = 0; attempt < MAX_CALL_ATTEMPTS; attempt += 1) {
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
      lastError = JSON.stringify(body);
      if (response.status !== 503) throw new Error(`${method} was refused: ${lastError}`);
    } catch (error) {
      if (error instanceof Error && error.message.startsWith(method)) throw error;
      lastError = String(error);
    }
    await new Promise((resolve) => setTimeout(resolve, CALL_RETRY_DELAY_MS));
  }
  throw new Error(`${method} got no answer: ${lastError}`);
}
