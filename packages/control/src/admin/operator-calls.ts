/** Operator calls: authenticated by token, and answered by the leader after confirming that it leads. */
import { setTimeout as delay } from 'node:timers/promises';
import {
  BOOTSTRAP_OPERATOR,
  checkSetting,
  type ControlState,
  isSecretFor,
  listAssignments,
  listEvacuations,
  listGroups,
  listSettings,
  type OperatorSetting,
  membershipOf,
  type SettingChange,
  toMemberId,
} from '@bramleykeel/core';
import type { LinkPeer } from '@bramleykeel/link';
import { z } from 'zod';
import { type CallAnswer, failure } from './call-answer.js';
import { handleEvacuationChange, handleEvacuationIndex } from './evacuation-operator-calls.js';
import {
  confirmLeadership,
  describeEntries,
  isInForce,
  type LeaderService,
} from '../leader/leader-service.js';
import { answerExplainCall } from './explain-call.js';

const callSchema = z.strictObject({
  method: z.string(),
  params: z.unknown(),
  token: z.string().max(200),
});

export type OperatorCall = z.infer<typeof callSchema>;

const applySchema = z.strictObject({
  operationId: z.string().min(8).max(100),
  baseRevision: z.int().nonnegative().nullable(),
  changes: z.array(z.strictObject({ path: z.string().max(200), value: z.unknown() })),
});

const awaitSchema = z.strictObject({
  revision: z.int().nonnegative(),
  timeoutMs: z.int().positive().max(60_000),
});

const forgetSchema = z.strictObject({ group: z.string(), server: z.string() });

const IN_FORCE_POLL_MS = 20;
const STATUS_TIMEOUT_MS = 1_000;

/** Answers one operator call on the leader. */
export async function answerOperatorCall(
  service: LeaderService,
  bootstrapTokenSha256Hex: string,
  rawCall: unknown,
): Promise<CallAnswer> {
  const parsed = callSchema.safeParse(rawCall);
  if (!parsed.success) return failure('bad-request', z.prettifyError(parsed.error));
  const { method, params, token } = parsed.data;
  if (!(await confirmLeadership(service))) {
    return failure('unavailable', 'the control leader changed; try again');
  }
  const operator = findOperator(service.driver.control(), bootstrapTokenSha256Hex, token);
  if (operator === undefined) return failure('denied', 'the operator token was not accepted');
  switch (method) {
    case 'settings/list':
      return handleListSettings(service.driver.control());
    case 'settings/apply':
      return handleApplySettings(service, operator, params);
    case 'settings/await':
      return handleAwaitRevision(service, params);
    case 'settings/history':
      return { kind: 'ok', result: service.driver.control().history };
    case 'status/get':
      return { kind: 'ok', result: await describeStatus(service) };
    case 'evacuation/index':
      return handleEvacuationIndex(service, params);
    case 'evacuation/order':
      return handleEvacuationChange(service, operator, params, true);
    case 'evacuation/withdraw':
      return handleEvacuationChange(service, operator, params, false);
    case 'explain/request':
      return answerExplainCall(service, params);
    case 'server/forget':
      return handleForgetServer(service, operator, params);
    default:
      return failure('not-found', `unknown method ${method}`);
  }
}

function findOperator(
  control: ControlState,
  bootstrapTokenSha256Hex: string,
  token: string,
): string | undefined {
  if (isSecretFor(token, bootstrapTokenSha256Hex)) return BOOTSTRAP_OPERATOR;
  const found = listSettings(control).find(({ path, value }) => {
    if (!path.startsWith('operators/')) return false;
    return isSecretFor(token, (value as OperatorSetting).tokenSha256Hex);
  });
  return found?.path.slice('operators/'.length);
}

function handleListSettings(control: ControlState): CallAnswer {
  const settings = listSettings(control);
  return { kind: 'ok', result: { revision: control.settingsRevision, settings } };
}

async function handleApplySettings(
  service: LeaderService,
  operator: string,
  params: unknown,
): Promise<CallAnswer> {
  const parsed = applySchema.safeParse(params);
  if (!parsed.success) return failure('bad-request', z.prettifyError(parsed.error));
  const { operationId, baseRevision } = parsed.data;
  const changes: SettingChange[] = [];
  for (const { path, value } of parsed.data.changes) {
    if (value === null) {
      changes.push({ path, value });
      continue;
    }
    const checked = checkSetting(path, value);
    if (checked.isLeft()) {
      const reason = checked
        .swap()
        .map((problem) => problem.reason)
        .orDefault('');
      return failure('bad-request', `${path}: ${reason}`);
    }
    checked.ifRight((valid) => changes.push({ path, value: valid }));
  }
  const result = await service.driver.propose({
    kind: 'settings/apply',
    operationId: operationId as never,
    operator,
    baseRevision,
    changes,
    wallClockMs: Date.now(),
  });
  if (!result) {
    const message = 'the control leader changed; resend with the same operation id';
    return failure('unavailable', message);
  }
  if (result.kind === 'conflict') {
    const message = `the settings are at revision ${result.revision}; nothing was changed`;
    return failure('conflict', message, result);
  }
  if (result.kind === 'rejected') {
    return failure('bad-request', `${result.path}: ${result.reason}`);
  }
  return { kind: 'ok', result };
}

async function handleAwaitRevision(service: LeaderService, params: unknown): Promise<CallAnswer> {
  const parsed = awaitSchema.safeParse(params);
  if (!parsed.success) return failure('bad-request', z.prettifyError(parsed.error));
  const { revision, timeoutMs } = parsed.data;
  const startedAtMs = performance.now();
  while (performance.now() - startedAtMs < timeoutMs) {
    if (service.driver.raft.role !== 'leader') break;
    if (isInForce(service, revision)) {
      const tookMs = Math.round(performance.now() - startedAtMs);
      return { kind: 'ok', result: { isInForce: true, tookMs } };
    }
    await delay(IN_FORCE_POLL_MS);
  }
  return { kind: 'ok', result: { isInForce: false, entries: describeEntries(service) } };
}

async function handleForgetServer(
  service: LeaderService,
  operator: string,
  params: unknown,
): Promise<CallAnswer> {
  const parsed = forgetSchema.safeParse(params);
  if (!parsed.success) return failure('bad-request', z.prettifyError(parsed.error));
  if (operator !== BOOTSTRAP_OPERATOR) {
    return failure('denied', 'only the operator bootstrap may remove a server from a group');
  }
  const { group, server } = parsed.data;
  const result = await service.driver.propose({
    kind: 'group/forget',
    group: group as never,
    server: server as never,
  });
  if (result?.kind === 'superseded') return failure('conflict', result.reason);
  if (!result) return failure('unavailable', 'the control leader changed; try again');
  return { kind: 'ok', result };
}

async function describeStatus(service: LeaderService) {
  const { raft } = service.driver;
  const control = service.driver.control();
  const reports = await Promise.all(
    [...service.subscribers].map(async ([peer, { incarnation }]) => {
      return { incarnation, report: await requestEntryStatus(peer) };
    }),
  );
  return {
    control: {
      leader: raft.selfId,
      term: raft.currentTerm,
      commitIndex: raft.commitIndex,
      members: describeMembers(service),
    },
    settingsRevision: control.settingsRevision,
    entries: describeEntries(service),
    evacuations: listEvacuations(control),
    groups: listGroups(control),
    assignments: listAssignments(control),
    reports,
  };
}

function describeMembers({ driver }: LeaderService) {
  const { raft } = driver;
  return Object.entries(membershipOf(raft)).map(([id, { isVoter, diskId }]) => {
    const progress = raft.progress.get(toMemberId(id));
    const silentMs = progress ? Math.round(performance.now() - progress.lastReplyMs) : 0;
    return {
      id,
      isVoter,
      diskId,
      matchIndex: progress?.matchIndex ?? raft.commitIndex,
      silentMs,
      hasRegressed: progress?.hasRegressed ?? false,
    };
  });
}

async function requestEntryStatus(peer: LinkPeer): Promise<unknown> {
  const answer = await peer.request('status/get', {}, STATUS_TIMEOUT_MS);
  return answer.orDefault(null);
}
