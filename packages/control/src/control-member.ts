/**
 * One control member, whatever its settings came from: storage, log, links to the other members and
 * leader duties. Addresses of the others come from the membership, and from hints until it is known.
 */
import {
  type ControlCommand,
  entryAt,
  type MemberId,
  membershipOf,
  type RaftMessage,
  type TimingSettings,
} from '@bramleykeel/core';
import {
  type Counters,
  DEFAULT_LINK_TIMING,
  DEFAULT_RECONNECT,
  keepLink,
  type LinkClient,
  type LinkPeer,
  listenForLinks,
  type Log,
} from '@bramleykeel/link';
import { type ControlApp, handleNotify, handleRequest, probeSuspect } from './app.js';
import {
  createLeaderService,
  handleRoundConfirmed,
  type LeaderService,
  reassignOrphans,
  schedulePush,
  stopLeaderService,
} from './leader/leader-service.js';
import { createLogDriver } from './log-driver.js';
import { addressesOf, tendMembership } from './member-join.js';
import { untilDiskTakes } from './storage/disk-refusal.js';
import { closeStorage, openStorage } from './storage/control-storage.js';

export interface ControlMemberOptions {
  readonly selfId: MemberId;
  readonly linkAddress: string;
  readonly adminAddress: string;
  readonly dataFolder: string;
  readonly linkSecret: string;
  readonly timing: TimingSettings;
  readonly snapshotEveryEntries: number;
  readonly bootstrapTokenSha256Hex: string;
  /** Link addresses to try besides those that the membership names. */
  readonly addressHints: () => readonly string[];
  /** Whether members that the membership does not name may join. */
  readonly allowsNewMembers: boolean;
  /** Voters to aim for. */
  readonly maxVoters: number;
  /** The region of a zone, where zones are grouped. */
  readonly regionOf?: (zone: string) => string | undefined;
  /** Whether this member's disk lasts, so that it may vote. */
  readonly isEligible: boolean;
  readonly log: Log;
  readonly counters: Counters;
  /** Takes what another member tells besides the log. */
  readonly onMemberEvent?: (method: string, params: unknown) => void;
}

export interface ControlMember {
  readonly app: ControlApp;
  /** Answers a request here while this member leads, otherwise asks the member that does. */
  readonly askLeader: (method: string, params: unknown, timeoutMs: number) => Promise<unknown>;
  /** Tells all other members something that they may miss. */
  readonly tellMembers: (method: string, params: unknown) => void;
  readonly stop: () => Promise<void>;
}

const noRegion = (): undefined => undefined;

const TICK_MS = 20;
const LEADER_DUTIES_MS = 100;
const JOIN_EVERY_MS = 300;

/**
 * Starts a control member.
 *
 * @throws when the data folder is corrupt or the address is taken: nothing is changed in that case
 * @example
 * const member = await startControlMember(options);
 * const answer = await member.askLeader('document/read', {}, 1_000);
 */
export async function startControlMember(options: ControlMemberOptions): Promise<ControlMember> {
  const { selfId, timing, log, counters } = options;
  const found = await untilDiskTakes(log, () => openStorage(options.dataFolder));
  const opened = found.mapLeft(({ file, offsetBytes }) => {
    const advice = 'move the folder away to rejoin with an empty one';
    return new Error(`${file} is corrupt at byte ${offsetBytes}; ${advice}`);
  });
  const { storage, ...recovered } = opened.unsafeCoerce();
  if (recovered.tornBytes > 0) log(`a torn tail of ${recovered.tornBytes} bytes was cut off`);

  let leader: LeaderService | undefined;
  const links = new Map<string, LinkClient>();
  const learntAddresses = new Map<MemberId, string>();
  const linkOptions = { secret: options.linkSecret, ...DEFAULT_LINK_TIMING };
  const driver = createLogDriver(
    { storage, ...recovered },
    { selfId, timing, snapshotEveryEntries: options.snapshotEveryEntries, log },
    {
      send: sendToMember,
      onRole: (role) => {
        counters.count(`role.${role}`);
        if (role === 'leader' || !leader) return;
        stopLeaderService(leader);
        leader = undefined;
      },
      onApplied: () => {
        openLeaderTerm();
        if (leader) schedulePush(leader);
      },
      onRoundConfirmed: (startedAtMs) => {
        if (leader) handleRoundConfirmed(leader, startedAtMs);
      },
    },
  );
  const app: ControlApp = {
    driver,
    log,
    bootstrapTokenSha256Hex: options.bootstrapTokenSha256Hex,
    allowsNewMembers: options.allowsNewMembers,
    leader: () => leader,
  };
  const linkServer = await listenForLinks(options.linkAddress, linkOptions, {
    onRequest: (peer, method, params) => handleRequest(app, peer, method, params),
    onNotify: (_peer, method, params) => {
      if (method === 'log/message') learnAddress(params);
      else options.onMemberEvent?.(method, params);
      handleNotify(app, method, params);
    },
    onClose: handleLinkClosed,
  });
  refreshLinks();
  const timers = [
    setInterval(() => {
      // After a stall, heartbeats that already wait in the sockets are read before time is judged.
      setImmediate(() => {
        driver.step({ kind: 'tick' });
      });
    }, TICK_MS),
    setInterval(() => {
      refreshLinks();
      if (!leader) return;
      reassignOrphans(leader);
      tendMembership(driver, options.maxVoters, log);
    }, LEADER_DUTIES_MS),
    setInterval(() => void joinIfNeeded(), JOIN_EVERY_MS),
  ];
  log(`member ${selfId} listens at ${options.linkAddress}, disk ${storage.diskId}`);
  return { app, askLeader, tellMembers, stop };

  /** A member that has no log yet answers the leader at the address that came with its message. */
  function learnAddress(params: unknown): void {
    const { from, address } = params as { from?: MemberId; address?: string };
    if (from === undefined || address === undefined) return;
    if (learntAddresses.get(from) === address) return;
    learntAddresses.set(from, address);
    refreshLinks();
  }

  function refreshLinks(): void {
    const known = addressesOf(membershipOf(driver.raft));
    const learnt = known.length === 0 ? learntAddresses.values() : [];
    const wanted = new Set([...known, ...learnt, ...options.addressHints()]);
    wanted.delete(options.linkAddress);
    for (const [address, link] of links) {
      if (wanted.has(address)) continue;
      link.stop();
      links.delete(address);
    }
    for (const address of wanted) {
      if (links.has(address)) continue;
      const reconnect = { ...linkOptions, ...DEFAULT_RECONNECT, reconnectMaxMs: 300 };
      const handlers = { onRequest: () => undefined, onNotify: () => undefined };
      links.set(address, keepLink(address, reconnect, handlers));
    }
  }

  function linkTo(member: MemberId): LinkPeer | undefined {
    const address = membershipOf(driver.raft)[member]?.address ?? learntAddresses.get(member);
    return address === undefined ? undefined : links.get(address)?.current();
  }

  function sendToMember(to: MemberId, message: RaftMessage<ControlCommand>): void {
    linkTo(to)?.notify('log/message', { from: selfId, address: options.linkAddress, message });
  }

  /** The leader serves only after its own first entry is committed: then it knows all earlier ones. */
  function openLeaderTerm(): void {
    const { raft } = driver;
    if (leader || raft.role !== 'leader') return;
    const newest = entryAt(raft, raft.commitIndex);
    if (newest?.term !== raft.currentTerm) return;
    leader = createLeaderService(driver, timing, options.regionOf ?? noRegion, log);
  }

  function handleLinkClosed(peer: LinkPeer): void {
    const watcher = leader?.watchers.get(peer);
    if (!leader || !watcher) return;
    leader.watchers.delete(peer);
    const lease = leader.leases.leases.get(watcher.incarnation);
    if (lease) void probeSuspect(app, watcher.incarnation, lease.linkAddress);
  }

  async function askLeader(method: string, params: unknown, timeoutMs: number): Promise<unknown> {
    const { leaderId } = driver.raft;
    if (leader) return handleRequest(app, undefined, method, params);
    const peer = leaderId === undefined ? undefined : linkTo(leaderId);
    const answer = await peer?.request(method, params, timeoutMs);
    return answer?.orDefault(undefined);
  }

  function tellMembers(method: string, params: unknown): void {
    for (const link of links.values()) link.current()?.notify(method, params);
  }

  async function joinIfNeeded(): Promise<void> {
    const record = membershipOf(driver.raft)[selfId];
    if (record?.diskId === storage.diskId) return;
    const request = {
      id: selfId,
      diskId: storage.diskId,
      address: options.linkAddress,
      adminAddress: options.adminAddress,
      isEligible: options.isEligible,
    };
    for (const link of links.values()) {
      const answer = await link.current()?.request('member/join', request, JOIN_EVERY_MS);
      if (answer?.extract() === 'refused') log('the cluster refused this member; check its id');
    }
  }

  async function stop(): Promise<void> {
    for (const timer of timers) clearInterval(timer);
    for (const link of links.values()) link.stop();
    await linkServer.close();
    closeStorage(storage);
    counters.close();
    log(`member ${selfId} has stopped`);
  }
}
