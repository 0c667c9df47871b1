/** Explains where a request would go now: collects what control, the owner and the home of the rate know. */
import {
  assignmentOf,
  type Assignment,
  customerSetting,
  type Resource,
  settingAt,
  toCustomerName,
  toGroupName,
} from '@bramleykeel/core';
import { z } from 'zod';
import type { LeaderService } from '../leader/leader-service.js';
import type { CallAnswer } from './call-answer.js';

const positionSchema = z.strictObject({
  term: z.int().nonnegative(),
  offset: z.int().nonnegative(),
});

const explainSchema = z.strictObject({
  database: z.string().max(63),
  customer: z.string().max(63),
  access: z.enum(['read', 'write']),
  mark: positionSchema.nullable(),
  /** `null`: the customer's own allowance. */
  maxAgeMs: z.int().nonnegative().nullable(),
});

const EXPLAIN_TIMEOUT_MS = 1_000;

/** Answers `explain/request`. Only settings that are no secrets are part of the answer. */
export async function answerExplainCall(
  service: LeaderService,
  params: unknown,
): Promise<CallAnswer> {
  const parsed = explainSchema.safeParse(params);
  if (!parsed.success) return failure('bad-request', z.prettifyError(parsed.error));
  const { database, access, mark, maxAgeMs } = parsed.data;
  const control = service.driver.control();
  const group = toGroupName(database);
  const customer = toCustomerName(parsed.data.customer);
  const isKnownGroup =
    control.records.has(`groups/${group}`) || settingAt(control, `groups/${group}`) !== undefined;
  if (!isKnownGroup) return failure('not-found', `no database is named ${database}`);
  const limit = customerSetting(control, customer);
  if (!limit) return failure('not-found', `no customer is named ${customer}`);
  const owner = assignmentOf(control, `group/${group}`);
  if (!owner) return failure('not-found', `no entry owns ${database} now`);
  const readAgeAllowanceMs = maxAgeMs ?? limit.readAgeAllowanceMs;
  const request = {
    group,
    epoch: owner.epoch,
    customer,
    access,
    mark,
    readAgeAllowanceMs,
  };
  const [choice, rate] = await Promise.all([
    requestFrom(service, owner, 'explain/choice', request),
    explainRate(service, `customer/${customer}`, customer),
  ]);
  if (choice === null) {
    const message = `the owner of ${database}, ${owner.entryId}, does not answer for epoch ${owner.epoch}`;
    return failure('not-found', message);
  }
  const { ratePerSecond, burst } = limit;
  const result = {
    database,
    customer,
    access,
    readAgeAllowanceMs,
    owner: { entryId: owner.entryId, epoch: owner.epoch },
    rate: { ratePerSecond, burst, home: rate },
    choice,
  };
  return { kind: 'ok', result };
}

async function explainRate(service: LeaderService, resource: Resource, customer: string) {
  const home = assignmentOf(service.driver.control(), resource);
  if (!home) return null;
  const state = await requestFrom(service, home, 'explain/rate', { customer });
  return { entryId: home.entryId, epoch: home.epoch, state };
}

/** `null` if the entry has no link to this member, does not answer in time, or does not know the answer. */
async function requestFrom(
  { subscribers }: LeaderService,
  { incarnation }: Assignment,
  method: string,
  params: unknown,
): Promise<unknown> {
  const found = [...subscribers].find(([, subscriber]) => subscriber.incarnation === incarnation);
  if (!found) return null;
  const answer = await found[0].request(method, params, EXPLAIN_TIMEOUT_MS);
  return answer.orDefault(null) ?? null;
}

function failure(code: 'bad-request' | 'not-found', message: string): CallAnswer {
  return { kind: 'error', code, message };
}
