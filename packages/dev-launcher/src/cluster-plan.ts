/** Plans a development cluster before it starts: addresses, settings files and customers. */
import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { createSecret, hashSecret } from '@bramleykeel/core';

export interface ClusterOptions {
  readonly dataFolder: string;
  readonly controlCount: number;
  readonly entryCount: number;
  readonly groups: readonly string[];
  readonly serversPerGroup: number;
  /** Whether servers announce the address of a relay. The caller has to start the relays. */
  readonly hasServerRelays: boolean;
  readonly lagMs: number;
  readonly slots: number;
  readonly connections: number;
  readonly connectCostMs: number;
  readonly statementCostMs: number;
  readonly customers: readonly CustomerPlan[];
  /** TOML appended to the settings file of each entry. */
  readonly extraEntryToml: string;
  /** Options of Node.js for the daemons, such as limits of the heap. */
  readonly daemonNodeOptions?: readonly string[];
  /** Ports to use, one per listener; {@link requiredPortCount} returns how many are needed. */
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
  /** The address that the server announces: its own, or that of the relay in front of it. */
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
  /** API keys by customer name. */
  readonly keys: ReadonlyMap<string, string>;
}

const PORTS_PER_CONTROL_MEMBER = 2;
const PORTS_PER_ENTRY = 3;
const PORTS_PER_SERVER = 3;

/** Returns the number of ports that a cluster of this size needs. */
export function requiredPortCount(options: Omit<ClusterOptions, 'ports'>): number {
  const servers = options.groups.length * options.serversPerGroup;
  return (
    options.controlCount * PORTS_PER_CONTROL_MEMBER +
    options.entryCount * PORTS_PER_ENTRY +
    servers * PORTS_PER_SERVER
  );
}

/**
 * Creates the data folder, writes the operator token and all settings files to it and returns the
 * plan.
 */
export function planCluster(options: ClusterOptions): ClusterPlan {
  const ports = [...options.ports];
  const takeNextAddress = () => `127.0.0.1:${ports.shift() ?? 0}`;
  mkdirSync(options.dataFolder, { recursive: true });
  const linkSecret = createSecret();
  const operatorToken = createSecret();
  const operatorTokenFile = join(options.dataFolder, 'operator-token');
  writeFileSync(operatorTokenFile, `${operatorToken}\n`, { mode: 0o600 });
  const control = numbersUpTo(options.controlCount).map((number) => ({
    id: `control-${number}`,
    linkAddress: takeNextAddress(),
    adminAddress: takeNextAddress(),
    settingsFile: join(options.dataFolder, `control-${number}.toml`),
  }));
  const entries = numbersUpTo(options.entryCount).map((number) => {
    const callerAddress = takeNextAddress();
    return {
      id: `entry-${number}`,
      callerPort: Number(callerAddress.split(':')[1]),
      linkAddress: takeNextAddress(),
      announceAddress: takeNextAddress(),
      settingsFile: join(options.dataFolder, `entry-${number}.toml`),
    };
  });
  const shared = [formatMembersToml(control), `[link]\nsecret = "${linkSecret}"\n`].join('\n');
  for (const member of control) {
    const own = formatControlToml(member, options.dataFolder, hashSecret(operatorToken));
    writeFileSync(member.settingsFile, `${own}\n${shared}`);
  }
  for (const [index, entry] of entries.entries()) {
    const own = formatEntryToml(entry, zoneForIndex(index));
    writeFileSync(entry.settingsFile, `${own}\n${shared}\n${options.extraEntryToml}`);
  }
  const announceUrls = entries.map(({ announceAddress }) => `http://${announceAddress}/announce`);
  const servers = options.groups.flatMap((group) =>
    planGroup(group, options, announceUrls, takeNextAddress),
  );
  const keys = new Map(options.customers.map(({ name }) => [name, createSecret()]));
  return { options, control, entries, servers, operatorTokenFile, operatorToken, linkSecret, keys };
}

function planGroup(
  group: string,
  options: ClusterOptions,
  announceUrls: readonly string[],
  takeNextAddress: () => string,
): ServerPlan[] {
  const serverAddresses = numbersUpTo(options.serversPerGroup).map((number) => ({
    server: `${group}-${number}`,
    address: takeNextAddress(),
    relayAddress: takeNextAddress(),
    commandAddress: takeNextAddress(),
  }));
  const [firstServer] = serverAddresses;
  return serverAddresses.map(({ server, address, relayAddress, commandAddress }, index) => {
    const announcedAddress = options.hasServerRelays ? relayAddress : address;
    const roleArgs =
      index === 0
        ? ['--first-primary']
        : ['--follow-url', `http://${firstServer?.commandAddress ?? ''}`];
    const { lagMs, slots, connections, connectCostMs, statementCostMs } = options;
    const args = [
      ...['--group', group, '--server', server, '--zone', zoneForIndex(index)],
      ...['--address', address, '--announced-address', announcedAddress],
      ...['--command-address', commandAddress],
      ...announceUrls.flatMap((url) => ['--announce-url', url]),
      ...['--data', join(options.dataFolder, server), '--lag-ms', String(lagMs)],
      ...['--slots', String(slots), '--connections', String(connections)],
      ...['--connect-cost-ms', String(connectCostMs)],
      ...['--statement-cost-ms', String(statementCostMs)],
      ...roleArgs,
    ];
    return { group, server, address, announcedAddress, commandAddress, args };
  });
}

/** Returns the settings changes that set the rate and key of each customer in the plan. */
export function createCustomerChanges(plan: ClusterPlan) {
  return plan.options.customers.flatMap(({ name, ...rate }) => {
    const sha256Hex = hashSecret(plan.keys.get(name) ?? '');
    return [
      { path: `customers/${name}`, value: rate },
      { path: `keys/${name}/first`, value: { sha256Hex } },
    ];
  });
}

function formatControlToml(
  member: ControlPlan,
  dataFolder: string,
  tokenSha256Hex: string,
): string {
  return [
    '[control]',
    `id = "${member.id}"`,
    `dataFolder = "${join(dataFolder, member.id)}"`,
    `bootstrapTokenSha256Hex = "${tokenSha256Hex}"`,
    '',
  ].join('\n');
}

function formatEntryToml(entry: EntryPlan, zone: string): string {
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

function formatMembersToml(members: readonly ControlPlan[]): string {
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

function zoneForIndex(index: number): string {
  return `zone-${String.fromCharCode('a'.charCodeAt(0) + (index % 3))}`;
}

function numbersUpTo(count: number): number[] {
  return Array.from({ length: count }, (_, index) => index + 1);
}
