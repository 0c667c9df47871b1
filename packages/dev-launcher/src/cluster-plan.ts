/** Plan of a development cluster: addresses, settings files and customers, before anything starts. */
import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { createSecret, hashSecret } from '@bramleykeel/core';

export interface ClusterOptions {
  readonly dataFolder: string;
  readonly controlCount: number;
  readonly entryCount: number;
  readonly groups: readonly string[];
  readonly serversPerGroup: number;
  /** Whether servers announce a relay address, for tests that start relays themselves. */
  readonly hasServerRelays: boolean;
  readonly lagMs: number;
  readonly slots: number;
  readonly connections: number;
  readonly connectCostMs: number;
  readonly statementCostMs: number;
  readonly customers: readonly CustomerPlan[];
  /** TOML added to every entry's settings file. */
  readonly extraEntryToml: string;
  /** Ports to use, one for each listener, from {@link requiredPorts} on. */
  readonly ports: readonly number[];
}

export interface CustomerPlan {
  readonly name: string;
  readonly ratePerSecond: number;
  readonly burst: number;
  readonly readAgeAllowanceMs: number | null;
}

export interface ControlPlan {
  readonly id: string;
  readonly linkAddress: string;
  readonly adminAddress: string;
  readonly settingsFile: string;
}

export interface EntryPlan {
  readonly id: string;
  readonly callerPort: number;
  readonly linkAddress: string;
  readonly announceAddress: string;
  readonly settingsFile: string;
}

export interface ServerPlan {
  readonly group: string;
  readonly server: string;
  readonly address: string;
  /** The address that the server announces: its own, or that of a relay before it. */
  readonly announcedAddress: string;
  readonly commandAddress: string;
  readonly args: readonly string[];
}

export interface ClusterPlan {
  readonly options: ClusterOptions;
  readonly control: readonly ControlPlan[];
  readonly entries: readonly EntryPlan[];
  readonly servers: readonly ServerPlan[];
  readonly operatorTokenFile: string;
  readonly operatorToken: string;
  readonly linkSecret: string;
  readonly keys: ReadonlyMap<string, string>;
}

const PORTS_PER_CONTROL = 2;
const PORTS_PER_ENTRY = 3;
const PORTS_PER_SERVER = 3;

/** Number of ports that a cluster of this size listens on. */
export function requiredPorts(options: Omit<ClusterOptions, 'ports'>): number {
  const servers = options.groups.length * options.serversPerGroup;
  return (
    options.controlCount * PORTS_PER_CONTROL +
    options.entryCount * PORTS_PER_ENTRY +
    servers * PORTS_PER_SERVER
  );
}

/** Writes all settings files below the data folder and returns the plan. */
export function planCluster(options: ClusterOptions): ClusterPlan {
  const ports = [...options.ports];
  const nextAddress = () => `127.0.0.1:${ports.shift() ?? 0}`;
  mkdirSync(options.dataFolder, { recursive: true });
  const linkSecret = createSecret();
  const operatorToken = createSecret();
  const operatorTokenFile = join(options.dataFolder, 'operator-token');
  writeFileSync(operatorTokenFile, `${operatorToken}\n`, { mode: 0o600 });
  const control = numbered(options.controlCount).map((number) => ({
    id: `control-${number}`,
    linkAddress: nextAddress(),
    adminAddress: nextAddress(),
    settingsFile: join(options.dataFolder, `control-${number}.toml`),
  }));
  const entries = numbered(options.entryCount).map((number) => {
    const callerAddress = nextAddress();
    return {
      id: `entry-${number}`,
      callerPort: Number(callerAddress.split(':')[1]),
      linkAddress: nextAddress(),
      announceAddress: nextAddress(),
      settingsFile: join(options.dataFolder, `entry-${number}.toml`),
    };
  });
  const shared = [membersToml(control), `[link]\nsecret = "${linkSecret}"\n`].join('\n');
  for (const member of control) {
    const own = controlToml(member, options.dataFolder, hashSecret(operatorToken));
    writeFileSync(member.settingsFile, `${own}\n${shared}`);
  }
  for (const [index, entry] of entries.entries()) {
    const own = entryToml(entry, zoneOf(index));
    writeFileSync(entry.settingsFile, `${own}\n${shared}\n${options.extraEntryToml}`);
  }
  const urls = entries.map(({ announceAddress }) => `http://${announceAddress}/announce`);
  const servers = options.groups.flatMap((group) => planGroup(group, options, urls, nextAddress));
  const keys = new Map(options.customers.map(({ name }) => [name, createSecret()]));
  return { options, control, entries, servers, operatorTokenFile, operatorToken, linkSecret, keys };
}

function planGroup(
  group: string,
  options: ClusterOptions,
  announceUrls: readonly string[],
  nextAddress: () => string,
): ServerPlan[] {
  const places = numbered(options.serversPerGroup).map((number) => ({
    server: `${group}-${number}`,
    address: nextAddress(),
    relayAddress: nextAddress(),
    commandAddress: nextAddress(),
  }));
  const [first] = places;
  return places.map(({ server, address, relayAddress, commandAddress }, index) => {
    const announcedAddress = options.hasServerRelays ? relayAddress : address;
    const role =
      index === 0 ? ['--first-primary'] : ['--follow-url', `http://${first?.commandAddress ?? ''}`];
    const { lagMs, slots, connections, connectCostMs, statementCostMs } = options;
    const args = [
      ...['--group', group, '--server', server, '--zone', zoneOf(index)],
      ...['--address', address, '--announced-address', announcedAddress],
      ...['--command-address', commandAddress],
      ...announceUrls.flatMap((url) => ['--announce-url', url]),
      ...['--data', join(options.dataFolder, server), '--lag-ms', String(lagMs)],
      ...['--slots', String(slots), '--connections', String(connections)],
      ...['--connect-cost-ms', String(connectCostMs)],
      ...['--statement-cost-ms', String(statementCostMs)],
      ...role,
    ];
    return { group, server, address, announcedAddress, commandAddress, args };
  });
}

/** Settings that give each customer of the plan its rate and key. */
export function customerChanges(plan: ClusterPlan) {
  return plan.options.customers.flatMap(({ name, ...rate }) => {
    const sha256Hex = hashSecret(plan.keys.get(name) ?? '');
    return [
      { path: `customers/${name}`, value: rate },
      { path: `keys/${name}/first`, value: { sha256Hex } },
    ];
  });
}

function controlToml(member: ControlPlan, dataFolder: string, tokenSha256Hex: string): string {
  return [
    '[control]',
    `id = "${member.id}"`,
    `dataFolder = "${join(dataFolder, member.id)}"`,
    `bootstrapTokenSha256Hex = "${tokenSha256Hex}"`,
    '',
  ].join('\n');
}

function entryToml(entry: EntryPlan, zone: string): string {
  return [
    '[entry]',
    `id = "${entry.id}"`,
    `zone = "${zone}"`,
    `callerAddress = "127.0.0.1:${entry.callerPort}"`,
    `linkAddress = "${entry.linkAddress}"`,
    `announceAddress = "${entry.announceAddress}"`,
    '',
  ].join('\n');
}

function membersToml(members: readonly ControlPlan[]): string {
  return members
    .map(({ id, linkAddress, adminAddress }) =>
      [
        '[[members]]',
        `id = "${id}"`,
        `linkAddress = "${linkAddress}"`,
        `adminAddress = "${adminAddress}"`,
        '',
      ].join('\n'),
    )
    .join('\n');
}

function zoneOf(index: number): string {
  return `zone-${String.fromCharCode('a'.charCodeAt(0) + (index % 3))}`;
}

function numbered(count: number): number[] {
  return Array.from({ length: count }, (_, index) => index + 1);
}
