/** The homes of statements that wait, by the settings in force where they wait. */
import type { CustomerName, GroupName } from '../types/ids.js';
import { commonHomes, type HomeLimit, type Homes } from './home-regions.js';

/** What a statement's homes follow from. */
export interface HomesSubject {
  readonly group: GroupName;
  /** The database that its caller named, which is the name of its route; absent if the sender knew of no limits. */
  readonly database?: string;
  readonly customer: CustomerName;
}

/** The homes by one version of the settings. */
export interface HomeRules {
  /** Whether any route or customer is limited. */
  readonly isLimited: boolean;
  /**
   * The homes of a statement, empty if its limits contradict each other; `undefined` if its route is unknown here. Without
   * the name of its route all limits of its group apply.
   */
  readonly homesOf: (subject: HomesSubject) => Homes | undefined;
}

/** The homes of a statement or transaction, judged again when other settings come into force. */
export interface HomesClaim {
  readonly subject: HomesSubject;
  homes: Homes;
  /** The rules by which they were judged last; `undefined` if only the sender has judged them. */
  judgedBy: HomeRules | undefined;
}

export interface HomeSettings {
  readonly routes: ReadonlyMap<string, HomeLimit & { readonly group: GroupName }>;
  readonly customers: ReadonlyMap<CustomerName, HomeLimit>;
}

const knownRules = new WeakMap<HomeSettings, HomeRules>();

/** The rules by the settings, made once for each version. */
export function homeRulesOf(settings: HomeSettings | undefined): HomeRules | undefined {
  if (!settings) return undefined;
  const rules = knownRules.get(settings) ?? createHomeRules(settings);
  knownRules.set(settings, rules);
  return rules;
}

function createHomeRules({ routes, customers }: HomeSettings): HomeRules {
  const isLimited = [...routes.values(), ...customers.values()].some(
    ({ homeRegions }) => homeRegions.length > 0,
  );
  return {
    isLimited,
    homesOf: ({ group, database, customer }) => {
      if (!isLimited) return null;
      const own = customers.get(customer) ?? { homeRegions: [] };
      if (database === undefined) {
        const ofGroup = [...routes.values()].filter((route) => route.group === group);
        return commonHomes([...ofGroup, own]) ?? null;
      }
      const route = routes.get(database);
      return route && (commonHomes([route, own]) ?? null);
    },
  };
}

export function homesSubjectOf(
  group: GroupName,
  { database, customer }: Omit<HomesSubject, 'group'>,
): HomesSubject {
  return { group, customer, ...(database !== undefined && { database }) };
}

/** @param homes the homes that the sender has worked out */
export function createHomesClaim(subject: HomesSubject, homes: Homes): HomesClaim {
  return { subject, homes, judgedBy: undefined };
}

/**
 * The homes in force; an empty list if there is no place. The sender's settings may be older or newer than those here, so
 * both apply until the settings here change.
 *
 * @example
 * if (!isHome(homesInForce(job.homesClaim, rules), region)) requeueJob(owner, job);
 */
export function homesInForce(claim: HomesClaim, rules: HomeRules | undefined): Homes {
  if (!rules || rules === claim.judgedBy) return claim.homes;
  const isFirst = claim.judgedBy === undefined;
  // A sender of a former version names no database, and has judged by the limits of the route.
  const here =
    isFirst && claim.subject.database === undefined ? undefined : rules.homesOf(claim.subject);
  if (here !== undefined) claim.homes = isFirst ? combine(claim.homes, here) : here;
  claim.judgedBy = rules;
  return claim.homes;
}

function combine(sent: Homes, here: Homes): Homes {
  // An empty list stands for no place here, and for no limit in settings.
  if (sent?.length === 0 || here?.length === 0) return [];
  return commonHomes([{ homeRegions: sent ?? [] }, { homeRegions: here ?? [] }]) ?? null;
}

/** A statement that waits at the entry of its caller, with its homes by the settings in force there now. */
export function withHomesInForce<Statement extends Omit<HomesSubject, 'group'> & { homes: Homes }>(
  statement: Statement,
  group: GroupName,
  rules: HomeRules | undefined,
): Statement {
  if (rules?.isLimited !== true || statement.database === undefined) return statement;
  const homes = rules.homesOf(homesSubjectOf(group, statement));
  return homes === undefined ? statement : { ...statement, homes };
}
