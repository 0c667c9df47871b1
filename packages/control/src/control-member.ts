/**
 * A control member, independent of where its settings come from: storage, log, links to the other
 * members and leader tasks. Addresses of the others come from the membership and from address hints.
 * Before the membership is known, addresses received with their messages are used as well.
 */
import {
  type ControlCommand,
  createDocumentCache,
  entryAt,
  type GroupName,
  kindOf,
  type MemberId,
  membershipOf,
  type RaftMessage,
  type Resource,
  type TimingSettings,
  toGroupName,
} from '@bramleykeel/core';
import {
  type Counters,
  DEFAULT_LINK_TIMING,
  DEFAULT_RECONNECT,
  maintainLink,
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
  reassignOrphanedResources,
  schedulePush,
  stopLeaderService,
} from './leader/leader-service.js';
import { createRecordsSource } from './leader/packed-records.js';
import { createLogDriver } from './log-driver.js';
import { addressesOf, reconcileMembership } from './member-join.js';
import { retryOnDiskError } from './storage/disk-errors.js';
import { closeStorage, openStorage } from './storage/control-storage.js';

export interface ControlMemberOptions {
  readonly selfId: MemberId;
  readonly linkAddress: string;
  readonly adminAddress: string;
  readonly dataFolder: string;
  readonly linkSecret: string;
  /** Descriptors that the process may have open; the limit of the system if absent. */
  readonly maxDescriptors?: number | undefined;
  readonly timing: TimingSettings;
  readonly snapshotEveryEntries: number;
  readonly bootstrapTokenSha256Hex: string;
  /** Link addresses to try in addition to those in the membership. */
  readonly addressHints: () => readonly string[];
  /** Whether members that are not in the membership may join. */
  readonly allowsNewMembers: boolean;
  /** Desired number of voters. */
  readonly maxVoters: number;
  /** Returns the region of a zone; `undefined` if zones are not grouped into regions. */
  readonly regionOf?: (zone: string) => string | undefined;
  /** Home regions that the restricted routes of a group have in common, by the operators' document. */
  readonly homeRegionsOf?: (group: GroupName) => readonly string[] | undefined;
  /** Whether this member has persistent storage; only then may it vote. */
  readonly isEligible: boolean;
  readonly log: Log;
  readonly counters: Counters;
  /** Handles notifications from other members that are not part of the log protocol. */
  readonly onMemberEvent?: (method: string, params: unknown) => void;
}

export interface ControlMember {
  readonly app: ControlApp;
  /**
   * Answers a request locally if this member leads, and forwards it to the leader otherwise. Resolves
   * with `undefined` if no leader is known, it does not answer in time, or it rejects the request.
   */
  readonly requestFromLeader: (
    method: string,
    params: unknown,
    timeoutMs: number,
  ) => Promise<unknown>;
  /** Sends a notification to all connected members, without a guarantee of delivery. */
  readonly notifyMembers: (method: string, params: unknown) => void;
  readonly stop: () => Promise<void>;
}

const noRegion = (): undefined => undefined;

const TICK_INTERVAL_MS = 20;
const LEADER_MAINTENANCE_INTERVAL_MS = 100;
const JOIN_RETRY_INTERVAL_MS = 300;

/**
 * Starts a control member.
 *
 * @throws when the data folder is corrupt or the address is in use; stored data is not changed then
 * @example
 * const member = await startControlMember(options);
 * const answer = await member.requestFromLeader('document/read', {}, 1_000);
 */
export async function startControlMember(options: ControlMemberOptions): Promise<ControlMember> {
  const { selfId, timing, log, counters } = options;
  const storageResult = await retryOnDiskError(log, () => openStorage(options.dataFolder));
  const opened = storageResult.mapLeft(({ file, offsetBytes }) => {
    const advice = 'move the data folder away to rejoin with an empty one';
    return new Error(`${file} is corrupt at byte ${offsetBytes}; ${advice}`);
  });
  const { storage, ...recovered } = opened.unsafeCoerce();
  if (recovered.tornBytes > 0)
    log(`discarded an incomplete write of ${recovered.tornBytes} bytes at the end of the log`);

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
        startLeaderServiceIfReady();
        if (leader) schedulePush(leader);
      },
      onRoundConfirmed: (startedAtMs) => {
        if (leader) handleRoundConfirmed(leader, startedAtMs);
      },
      onBroken: (error) => {
        // Thrown where nobody can handle it: the process has to end, whatever the caller does with the error.
        setImmediate(() => {
          throw error;
        });
      },
    },
  );
  const app: ControlApp = {
    driver,
    log,
    bootstrapTokenSha256Hex: options.bootstrapTokenSha256Hex,
    allowsNewMembers: options.allowsNewMembers,
    recordsSource: createRecordsSource(createDocumentCache(driver.control()), driver.control),
    leader: () => leader,
  };
  const serverOptions = {
    ...linkOptions,
    maxDescriptors: options.maxDescriptors,
    onTooMany: () => {
      counters.count('limit.link-connections');
    },
  };
  const linkServer = await listenForLinks(options.linkAddress, serverOptions, {
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
      // After a stall of the process, reads heartbeats buffered in the sockets before checking timeouts.
      setImmediate(() => {
        driver.step({ kind: 'tick' });
      });
    }, TICK_INTERVAL_MS),
    setInterval(() => {
      refreshLinks();
      if (!leader) return;
      reassignOrphanedResources(leader);
      reconcileMembership(driver, options.maxVoters, log);
    }, LEADER_MAINTENANCE_INTERVAL_MS),
    setInterval(() => void joinIfNeeded(), JOIN_RETRY_INTERVAL_MS),
  ];
  log(`member ${selfId} listens at ${options.linkAddress}, disk ${storage.diskId}`);
  return { app, requestFromLeader, notifyMembers, stop };

  /** Stores the sender's address, so that a member without a log yet can answer the leader. */
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
    const wantedAddresses = new Set([...known, ...learnt, ...options.addressHints()]);
    wantedAddresses.delete(options.linkAddress);
    for (const [address, link] of links) {
      if (wantedAddresses.has(address)) continue;
      link.stop();
      links.delete(address);
    }
    for (const address of wantedAddresses) {
      if (links.has(address)) continue;
      const reconnect = { ...linkOptions, ...DEFAULT_RECONNECT, reconnectMaxMs: 300 };
      const handlers = {
        onRequest: () => undefined,
        onNotify: () => undefined,
        onOpen: () => {
          handleMemberReachable(address);
        },
      };
      links.set(address, maintainLink(address, reconnect, handlers));
    }
  }

  function handleMemberReachable(address: string): void {
    const found = Object.entries(membershipOf(driver.raft)).find(
      ([, record]) => record.address === address,
    );
    if (found) driver.step({ kind: 'peer-reachable', peer: found[0] as MemberId });
  }

  function linkTo(member: MemberId): LinkPeer | undefined {
    const address = membershipOf(driver.raft)[member]?.address ?? learntAddresses.get(member);
    return address === undefined ? undefined : links.get(address)?.current();
  }

  function sendToMember(to: MemberId, message: RaftMessage<ControlCommand>): void {
    linkTo(to)?.notify('log/message', { from: selfId, address: options.linkAddress, message });
  }

  /**
   * Starts the leader service once an entry of the leader's own term is committed: only then is it
   * known that all entries committed earlier are included.
   */
  function homesOf(resource: Resource): readonly string[] | undefined {
    if (kindOf(resource) !== 'group') return undefined;
    return options.homeRegionsOf?.(toGroupName(resource.slice('group/'.length)));
  }

  function startLeaderServiceIfReady(): void {
    const { raft } = driver;
    if (leader || raft.role !== 'leader') return;
    const newest = entryAt(raft, raft.commitIndex);
    if (newest?.term !== raft.currentTerm) return;
    leader = createLeaderService(driver, timing, options.regionOf ?? noRegion, log, homesOf);
  }

  function handleLinkClosed(peer: LinkPeer): void {
    const subscriber = leader?.subscribers.get(peer);
    if (!leader || !subscriber) return;
    leader.subscribers.delete(peer);
    const lease = leader.leases.leases.get(subscriber.incarnation);
    if (lease) void probeSuspect(app, subscriber.incarnation, lease.linkAddress);
  }

  async function requestFromLeader(
    method: string,
    params: unknown,
    timeoutMs: number,
  ): Promise<unknown> {
    const { leaderId } = driver.raft;
    if (leader) return answerLocally(method, params);
    const peer = leaderId === undefined ? undefined : linkTo(leaderId);
    const answer = await peer?.request(method, params, timeoutMs);
    return answer?.orDefault(undefined);
  }

  async function answerLocally(method: string, params: unknown): Promise<unknown> {
    try {
      return await handleRequest(app, undefined, method, params);
    } catch (error) {
      log('request of this process rejected', { method, error: String(error) });
      return undefined;
    }
  }

  function notifyMembers(method: string, params: unknown): void {
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
      const answer = await link.current()?.request('member/join', request, JOIN_RETRY_INTERVAL_MS);
      if (answer?.extract() === 'refused') log('the cluster rejected this member; check its id');
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
