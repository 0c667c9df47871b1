/** Control daemon configured by a settings file: fixed members, and operator calls over HTTP. */
import {
  type ControlMemberAddress,
  type ControlSettings,
  type Membership,
  toMemberId,
} from '@bramleykeel/core';
import { createCounters, createLog, readProcessLimits } from '@bramleykeel/link';
import { listenForOperators } from './admin/admin-http.js';
import type { CallAnswer } from './admin/call-answer.js';
import { startControlMember } from './control-member.js';
import { initialDiskId, initializeFolder } from './storage/control-storage.js';

export interface ControlDaemon {
  readonly stop: () => Promise<void>;
}

const FORWARD_TIMEOUT_MS = 70_000;

/** The initial membership of a new cluster; all members are voters. */
export function initialMembership(members: readonly ControlMemberAddress[]): Membership {
  return Object.fromEntries(
    members.map(({ id, linkAddress, adminAddress }) => [
      id,
      { address: linkAddress, adminAddress, diskId: initialDiskId(id), isVoter: true },
    ]),
  );
}

/** Initializes the data folder of a member of a new cluster. */
export function initializeControl(settings: ControlSettings) {
  const { control, members } = settings;
  return initializeFolder(control.dataFolder, control.id, initialMembership(members));
}

/**
 * Starts a control member.
 *
 * @throws when the settings do not list this member, the data folder is corrupt or an address is in
 *   use; stored data is not changed then
 */
export async function startControl(settings: ControlSettings): Promise<ControlDaemon> {
  const { control, members } = settings;
  const self = members.find(({ id }) => id === control.id);
  if (!self) throw new Error(`control.id: ${control.id} is not among the members`);
  const counters = createCounters('control', settings.statsd);
  const member = await startControlMember({
    selfId: toMemberId(control.id),
    linkAddress: self.linkAddress,
    adminAddress: self.adminAddress,
    dataFolder: control.dataFolder,
    linkSecret: settings.link.secret,
    timing: settings.timing,
    snapshotEveryEntries: control.snapshotEveryEntries,
    bootstrapTokenSha256Hex: control.bootstrapTokenSha256Hex,
    addressHints: () => members.map(({ linkAddress }) => linkAddress),
    allowsNewMembers: false,
    maxVoters: members.length,
    isEligible: true,
    log: createLog('control'),
    counters,
  });
  const limits = readProcessLimits({});
  const adminServer = await listenForOperators(self.adminAddress, limits, counters, answerCall);
  return {
    stop: async () => {
      adminServer.closeAllConnections();
      adminServer.close();
      await member.stop();
    },
  };

  async function answerCall(call: unknown): Promise<CallAnswer> {
    const answer = await member.requestFromLeader('operator/call', call, FORWARD_TIMEOUT_MS);
    const message = 'the control leader did not answer; resend with the same operation id';
    const unavailable: CallAnswer = { kind: 'error', code: 'unavailable', message };
    return (answer as CallAnswer | undefined) ?? unavailable;
  }
}
