/** Explains where a statement would go from this entry: its own part, and those of the owner and the reader. */
import { setTimeout as delay } from 'node:timers/promises';
import {
  type Assignment,
  assignmentOf,
  type CustomerName,
  type Homes,
  mayForward,
  type StatementRefusalReason,
  type StatementRoute,
  toCustomerName,
} from '@bramleykeel/core';
import {
  type ControlClient,
  describeRate,
  describeRateHome,
  type RateDrawContext,
} from '@bramleykeel/entry-shared';
import { admitCustomer, ANONYMOUS_CUSTOMER, findHomes } from '../accept/access.js';
import { commonDraftFields, deadlinesOf } from '../accept/draft.js';
import type { SessionEnvironment } from '../accept/session-state.js';
import type { EntryLinks } from '../locate/entry-links.js';
import { findOwnerAssignment } from '../locate/find-owner.js';
import { locateReader, readerResource } from '../near/locate-reader.js';
import { nearestPlaceFor } from '../near/reader-client.js';
import type {
  ExplainAnswer,
  ExplainedReader,
  ExplainFailure,
  ExplainRequest,
  OwnerExplanation,
  ReaderExplanation,
  StatementExplanation,
  StatementQuestion,
} from '../types/explanation.js';

export interface ExplainContext {
  readonly entryId: string;
  readonly zone: string;
  readonly regionOf: (zone: string) => string;
  readonly control: ControlClient;
  readonly environment: SessionEnvironment;
  readonly draws: RateDrawContext;
  readonly links: EntryLinks;
  /** Answers a question to the owner or the reader in this process as `handleRequest` does. */
  readonly answerLocally: (method: ExplainMethod, params: EncodedQuestion) => unknown;
}

export type ExplainMethod = 'statement/explain' | 'reader/explain';

/** Wire form of a question to an owner or reader; a reader ignores the epoch. */
export type EncodedQuestion = readonly [group: string, epoch: number, question: StatementQuestion];

/** Time for the answers of owner and reader, in milliseconds; operators' clients wait for 5 s. */
const PART_TIMEOUT_MS = 1_000;
const LINK_POLL_MS = 20;

/** What the entry finds without asking anyone. */
interface OwnPart {
  readonly route: StatementRoute;
  readonly customer: CustomerName;
  readonly homes: Homes;
  readonly refusal: StatementRefusalReason | null;
  readonly question: StatementQuestion;
}

/**
 * Explains a statement outside of transactions. Nothing is sent to a server, and no rate token is spent; a link to the
 * owner or the reader is opened if there is none.
 *
 * @example
 * await explainAtEntry(context, { database, customer: 'acme', access: 'read', mark: null, maxAgeMs: null });
 */
export async function explainAtEntry(
  context: ExplainContext,
  request: ExplainRequest,
): Promise<ExplainAnswer> {
  const { database, access, mark } = request;
  const settings = context.environment.settings();
  if (!settings) return failure('no-settings', 'the entry has no settings yet');
  const route = settings.routes.get(database);
  if (!route) return failure('unknown-database', `no database is named ${database}`);
  const own = explainOwnPart(context, route, request);
  if (!own) return failure('unknown-customer', `no customer is named ${request.customer}`);
  const { group } = route;
  const assignment = findOwnerAssignment(context.environment.owners, group);
  if (!assignment) return failure('no-owner', `no entry owns ${group}, the group of ${database}`);
  const [ownerPart, reader] = await Promise.all([
    askPart(context, assignment, 'statement/explain', [group, assignment.epoch, own.question]),
    explainReader(context, own),
  ]);
  if (!ownerPart) {
    const { entryId, epoch } = assignment;
    const message = `the owner of ${group}, ${entryId}, does not answer for epoch ${epoch}`;
    return failure('owner-unreachable', message);
  }
  const refusal = own.refusal ?? refusalToForward(context, own, assignment);
  const explanation: StatementExplanation = {
    dialect: 'statement',
    database,
    customer: own.customer,
    access,
    entry: {
      entryId: context.entryId,
      zone: context.zone,
      region: context.regionOf(context.zone),
      settingsVersion: settings.version,
      hasFreshSettings: context.environment.hasFreshSettings(),
    },
    route,
    mark,
    maxReadAgeMs: own.question.maxReadAgeMs,
    homes: own.homes,
    refusal,
    rate: explainRate(context, own.customer),
    reader,
    owner: {
      entryId: assignment.entryId,
      epoch: assignment.epoch,
      zone: assignment.zone ?? null,
      answeredInMs: ownerPart.answeredInMs,
      part: ownerPart.value as OwnerExplanation,
    },
    decidedBy: decidedBy(own.refusal, refusal, reader),
  };
  return { kind: 'explained', explanation };
}

function failure(kind: ExplainFailure, message: string): ExplainAnswer {
  return { kind: 'failed', failure: kind, message };
}

/** `undefined` if the customer is unknown. */
function explainOwnPart(
  { environment }: ExplainContext,
  route: StatementRoute,
  { database, access, mark, maxAgeMs, ...request }: ExplainRequest,
): OwnPart | undefined {
  const customer = toCustomerName(request.customer);
  const isAnonymous = route.isOpenToAll && customer === ANONYMOUS_CUSTOMER;
  if (!isAnonymous && environment.settings()?.customers.has(customer) !== true) return undefined;
  const admission = admitCustomer(environment, database, ({ customers }) =>
    customers.get(customer),
  );
  const homes = findHomes(environment, database, customer);
  const withoutHomes = typeof homes === 'string';
  const source = { environment, database, mark };
  const fields = commonDraftFields(source, route, customer, withoutHomes ? null : homes);
  const { deadlineMs, startByMs } = deadlinesOf(environment, route);
  const nowMs = performance.now();
  const refusal = refusalOf(environment, admission, homes);
  const question: StatementQuestion = {
    ...fields,
    access,
    maxReadAgeMs: maxAgeMs ?? route.maxReadAgeMs,
    budgetMs: Math.max(1, deadlineMs - nowMs),
    startWithinMs: Math.max(0, startByMs - nowMs),
  };
  return { route, customer, homes: question.homes, refusal, question };
}

/** The checks of an arriving operation, in their order. */
function refusalOf(
  { stopPhase }: SessionEnvironment,
  admission: ReturnType<typeof admitCustomer>,
  homes: ReturnType<typeof findHomes>,
): StatementRefusalReason | null {
  if (stopPhase() !== 'serving') return 'entry-stopping';
  if (typeof admission === 'string') return admission;
  return typeof homes === 'string' ? homes : null;
}

/** Content is not forwarded to an owner outside of the homes; a reader inside may still run a read. */
function refusalToForward(
  { regionOf, control }: ExplainContext,
  { homes }: OwnPart,
  { incarnation, zone }: Assignment,
): StatementRefusalReason | null {
  const isLocal = incarnation === control.incarnation();
  return mayForward(homes, { isLocal, zone }, regionOf) ? null : 'no-home-server';
}

function decidedBy(
  ownRefusal: StatementRefusalReason | null,
  refusal: StatementRefusalReason | null,
  reader: ExplainedReader | null,
): StatementExplanation['decidedBy'] {
  if (ownRefusal !== null) return 'entry';
  if (reader?.part?.reason === null) return 'reader';
  return refusal === null ? 'owner' : 'entry';
}

function explainRate(
  { environment, control, draws }: ExplainContext,
  customer: CustomerName,
): StatementExplanation['rate'] {
  const limit = draws.limitOf(customer);
  if (!limit) return null;
  const { ratePerSecond, burst } = limit;
  const resource = `customer/${customer}` as const;
  const home = assignmentOf(control, resource);
  const heldEpoch = control.heldEpoch(resource);
  const held =
    heldEpoch === undefined ? null : describeRateHome(draws.homes, customer, limit, heldEpoch);
  return {
    limit: { ratePerSecond, burst },
    atEntry: describeRate(environment.rates, customer, 1),
    home: home
      ? {
          entryId: home.entryId,
          epoch: home.epoch,
          state: held && { tokens: held.tokens, waitingDraws: held.waitingDraws },
        }
      : null,
  };
}

async function explainReader(
  context: ExplainContext,
  { route: { group }, question }: OwnPart,
): Promise<ExplainedReader | null> {
  const { control, regionOf, environment, zone } = context;
  const { waitingAt } = environment.readers;
  const region = regionOf(zone);
  const locate = () =>
    locateReader({ control, region, regionOf, requestResource: () => undefined }, group);
  const draft = { ...question, transaction: null };
  const options = { regionOf, locateReader: locate };
  const place = nearestPlaceFor({ waitingAt, options }, group, draft);
  if (place.kind === 'owner' && place.reason === 'not-a-near-read') return null;
  const assignment = assignmentOf(control, readerResource(group, region));
  const { entryId = null, epoch = null } = assignment ?? {};
  const nothing = { entryId, epoch, part: null, answeredInMs: null };
  if (place.kind === 'owner') return { ...nothing, reason: place.reason };
  if (!assignment) return { ...nothing, reason: 'no-reader' };
  const answer = await askPart(context, assignment, 'reader/explain', [
    group,
    assignment.epoch,
    question,
  ]);
  if (!answer) return { ...nothing, reason: 'reader-does-not-answer' };
  const { value, answeredInMs } = answer;
  return { entryId, epoch, reason: null, part: value as ReaderExplanation, answeredInMs };
}

/** Asks the holder of a resource for its part; `undefined` if it does not answer or no longer holds it. */
async function askPart(
  { control, links, answerLocally }: ExplainContext,
  { incarnation, linkAddress }: Assignment,
  method: ExplainMethod,
  params: EncodedQuestion,
): Promise<{ readonly value: unknown; readonly answeredInMs: number } | undefined> {
  const startedAtMs = performance.now();
  const untilMs = startedAtMs + PART_TIMEOUT_MS;
  const value =
    incarnation === control.incarnation()
      ? answerLocally(method, params)
      : await askOverLink(links, linkAddress, method, params, untilMs);
  if (value === undefined || value === null) return undefined;
  return { value, answeredInMs: Math.round(performance.now() - startedAtMs) };
}

async function askOverLink(
  links: EntryLinks,
  linkAddress: string,
  method: ExplainMethod,
  params: EncodedQuestion,
  untilMs: number,
): Promise<unknown> {
  let peer = links.linkTo(linkAddress);
  while (!peer && performance.now() < untilMs) {
    await delay(LINK_POLL_MS);
    peer = links.linkTo(linkAddress);
  }
  const answer = await peer?.request(method, params, Math.max(1, untilMs - performance.now()));
  return answer?.orDefault(undefined);
}
