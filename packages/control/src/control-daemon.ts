/** Wires the parts of a control member: storage, log, links, leader duties and the operators' port. */
import {
  toMemberId,
  type ControlMemberAddress,
  type ControlSettings,
  entryAt,
  type MemberId,
  type Membership,
  membershipOf,
  type RaftMessage,
  type ControlCommand,
} from '@bramleykeel/core';
import {
  createCounters,
  createLog,
  DEFAULT_LINK_TIMING,
  DEFAULT_RECONNECT,
  keepLink,
  type LinkClient,
  type LinkPeer,
  listenForLinks,
} from '@bramleykeel/link';
import type { CallAnswer } from './admin/operator-calls.js';
import { listenForOperators } from './admin/admin-http.js';
import { callLeader, type ControlApp, handleNotify, handleRequest, probeSuspect } from './app.js';
import {
  createLeaderService,
  handleRoundConfirmed,
  type LeaderService,
  reassignOrphans,
  schedulePush,
  stopLeaderService,
} from './leader/leader-service.js';
import { createLogDriver } from './log-driver.js';
import { admitCaughtUpMembers } from './member-join.js';
import {
  closeStorage,
  initialDiskId,
  initializeFolder,
  openStorage,
} from './storage/control-storage.js';

export interface ControlDaemon {
  readonly stop: () => Promise<void>;
}

const TICK_MS = 20;
const LEADER_DUTIES_MS = 100;
const JOIN_EVERY_MS = 300;
const FORWARD_TIMEOUT_MS = 70_000;

/** The membership that a new cluster starts with. */
export function firstMembership(members: readonly ControlMemberAddress[]): Membership {
  return Object.fromEntries(
    members.map(({ id, linkAddress, adminAddress }) => [
      id,
      { address: linkAddress, adminAddress, diskId: initialDiskId(id), isVoter: true },
    ]),
  );
}

/** Prepares the data folder of a member of a new cluster. */
export function initializeControl(settings: ControlSettings) {
  const { control, members } = settings;
  return initializeFolder(control.dataFolder, control.id, firstMembership(members));
}

/**
 * Starts a control member.
 *
 * @throws when the data folder is corrupt or an address is taken: nothing is changed in that case
 */
export async function startControl(settings: ControlSettings): Promise<ControlDaemon> {
  const { control, timing } = settings;
  const selfId = toMemberId(control.id);
  const log = createLog('control');
  const counters = createCounters('control', settings.statsd);
  const self = settings.members.find(({ id }) => id === control.id);
  if (!self) throw new Error(`control.id: ${control.id} is not among the members`);
  const opened = openStorage(control.dataFolder).mapLeft(({ file, offsetBytes }) => {
    const advice = 'move the folder away to rejoin with an empty one';
    return new Error(`${file} is corrupt at byte ${offsetBytes}; ${advice}`);
  });
  const { storage, ...recovered } = opened.unsafeCoerce();
  if (recovered.tornBytes > 0) log(`a torn tail of ${recovered.tornBytes} bytes was cut off`);

  let leader: LeaderService | undefined;
  const links = new Map<MemberId, LinkClient>();
  const driver = createLogDriver(
    { storage, ...recovered },
    { selfId, timing, snapshotEveryEntries: control.snapshotEveryEntries, log },
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
    bootstrapTokenSha256Hex: control.bootstrapTokenSha256Hex,
    leader: () => leader,
  };
  const linkOptions = { secret: settings.link.secret, ...DEFAULT_LINK_TIMING };
  const linkServer = await listenForLinks(self.linkAddress, linkOptions, {
    onRequest: (peer, method, params) => handleRequest(app, peer, method, params),
    onNotify: (_peer, method, params) => {
      handleNotify(app, method, params);
    },
    onClose: handleLinkClosed,
  });
  const adminServer = await listenForOperators(self.adminAddress, answerOrForward);
  for (const member of settings.members) {
    if (member.id === control.id) continue;
    const link = keepLink(
      member.linkAddress,
      { ...linkOptions, ...DEFAULT_RECONNECT, reconnectMaxMs: 300 },
      { onRequest: () => undefined, onNotify: () => undefined },
    );
    links.set(toMemberId(member.id), link);
  }
  const timers = [
    setInterval(() => {
      // After a stall, heartbeats that already wait in the sockets are read before time is judged.
      setImmediate(() => {
        driver.step({ kind: 'tick' });
      });
    }, TICK_MS),
    setInterval(() => {
      if (!leader) return;
      reassignOrphans(leader);
      admitCaughtUpMembers(driver, log);
    }, LEADER_DUTIES_MS),
    setInterval(() => void joinIfNeeded(), JOIN_EVERY_MS),
  ];
  log(`member ${control.id} listens at ${self.linkAddress}`);
  return { stop };

  function sendToMember(to: MemberId, message: RaftMessage<ControlCommand>): void {
    links.get(to)?.current()?.notify('log/message', { from: selfId, message });
  }

  /** The leader serves only after its own first entry is committed: then it knows all earlier ones. */
  function openLeaderTerm(): void {
    const { raft } = driver;
    if (leader || raft.role !== 'leader') return;
    const newest = entryAt(raft, raft.commitIndex);
    if (newest?.term !== raft.currentTerm) return;
    leader = createLeaderService(driver, timing, log);
  }

  function handleLinkClosed(peer: LinkPeer): void {
    const watcher = leader?.watchers.get(peer);
    if (!leader || !watcher) return;
    leader.watchers.delete(peer);
    const lease = leader.leases.leases.get(watcher.incarnation);
    if (lease) void probeSuspect(app, watcher.incarnation, lease.linkAddress);
  }

  async function answerOrForward(call: unknown): Promise<CallAnswer> {
    const { leaderId } = driver.raft;
    const link = leaderId === undefined ? undefined : links.get(leaderId)?.current();
    if (leader || !link) return callLeader(app, call);
    const answer = await link.request('operator/call', call, FORWARD_TIMEOUT_MS);
    const message = 'the control leader did not answer; resend with the same operation id';
    const unavailable: CallAnswer = { kind: 'error', code: 'unavailable', message };
    return answer.map((value) => value as CallAnswer).orDefault(unavailable);
  }

  async function joinIfNeeded(): Promise<void> {
    const record = membershipOf(driver.raft)[selfId];
    if (record?.diskId === storage.diskId) return;
    for (const link of links.values()) {
      const peer = link.current();
      if (!peer) continue;
      const request = { id: selfId, diskId: storage.diskId };
      const answer = await peer.request('member/join', request, JOIN_EVERY_MS);
      if (answer.extract() === 'refused') log('the cluster refused this member; check its id');
    }
  }

  async function stop(): Promise<void> {
    for (const timer of timers) clearInterval(timer);
    for (const link of links.values()) link.stop();
    adminServer.closeAllConnections();
    adminServer.close();
    await linkServer.close();
    closeStorage(storage);
    counters.close();
    log(`member ${control.id} has stopped`);
  }
}
