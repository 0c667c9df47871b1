/**
 * Byte budget of one process: what its clients make it hold in memory, by client and account, and the decision what
 * to pause, refuse and close when it is used up.
 *
 * Functions change the state passed to them. A holder takes part in the totals only while it holds bytes, so that
 * idle connections cost nothing here.
 */

/**
 * - `input`: bytes of messages that are not complete yet, or not processed yet;
 * - `queued`: requests that wait or run;
 * - `unsent`: answers that the kernel has not accepted yet;
 * - `state`: values and prepared statements that a session keeps.
 */
export type BudgetAccount = 'input' | 'queued' | 'unsent' | 'state';

/** What one connection holds. */
export interface BudgetHolder {
  /** The customer that the connection belongs to; `undefined` until it is known. */
  customer: string | undefined;
  readonly held: Record<BudgetAccount, number>;
  totalBytes: number;
  /** When the holder last began to hold bytes, by the monotonic clock. */
  sinceMs: number;
  /** Closes the connection to free what it holds. */
  readonly close: (reason: string) => void;
}

export type CloseReason = 'budget-exceeded' | 'unknown-callers-share-exceeded';

export interface ByteBudget {
  readonly limitBytes: number;
  /** Holders with more than zero bytes. */
  readonly holders: Set<BudgetHolder>;
  readonly bytesByCustomer: Map<string | undefined, number>;
  totalBytes: number;
}

/** Part of the budget for connections whose customer is not known yet. */
const UNKNOWN_SHARE = 0.125;
/** Part of the budget above which new requests are refused, so that running ones can finish. */
const REFUSE_SHARE = 0.75;
/** Part of the budget above which sockets of large holders are not read from. */
const PAUSE_SHARE = 0.5;

/**
 * Creates an empty budget.
 *
 * @example
 * const budget = createByteBudget(40 * 1024 * 1024);
 */
export function createByteBudget(limitBytes: number): ByteBudget {
  return { limitBytes, holders: new Set(), bytesByCustomer: new Map(), totalBytes: 0 };
}

/**
 * Creates the account of a connection; `close` is called if it has to be closed to free memory.
 *
 * @example
 * const holder = createHolder((reason) => socket.destroy());
 */
export function createHolder(close: (reason: string) => void): BudgetHolder {
  const held = { input: 0, queued: 0, unsent: 0, state: 0 };
  return { customer: undefined, held, totalBytes: 0, sinceMs: 0, close };
}

/**
 * Records how many bytes a holder has in one account.
 *
 * @example
 * setHeld(budget, holder, 'input', 4_096, performance.now());
 */
export function setHeld(
  budget: ByteBudget,
  holder: BudgetHolder,
  account: BudgetAccount,
  bytes: number,
  nowMs: number,
): void {
  const change = bytes - holder.held[account];
  if (change === 0) return;
  if (holder.totalBytes === 0) {
    holder.sinceMs = nowMs;
    budget.holders.add(holder);
  }
  holder.held[account] = bytes;
  holder.totalBytes += change;
  budget.totalBytes += change;
  addToCustomer(budget, holder.customer, change);
  if (holder.totalBytes === 0) budget.holders.delete(holder);
}

/** Moves what a holder has to the share of its customer. */
export function assignCustomer(budget: ByteBudget, holder: BudgetHolder, customer: string): void {
  addToCustomer(budget, holder.customer, -holder.totalBytes);
  holder.customer = customer;
  addToCustomer(budget, customer, holder.totalBytes);
}

/** Removes a closed connection from the budget. */
export function releaseHolder(budget: ByteBudget, holder: BudgetHolder): void {
  addToCustomer(budget, holder.customer, -holder.totalBytes);
  budget.totalBytes -= holder.totalBytes;
  budget.holders.delete(holder);
  holder.totalBytes = 0;
  for (const account of Object.keys(holder.held) as BudgetAccount[]) holder.held[account] = 0;
}

function addToCustomer(budget: ByteBudget, customer: string | undefined, change: number): void {
  const bytes = (budget.bytesByCustomer.get(customer) ?? 0) + change;
  if (bytes === 0) budget.bytesByCustomer.delete(customer);
  else budget.bytesByCustomer.set(customer, bytes);
}

/**
 * Whether new requests of a connection are refused as not run: the budget is nearly used up and this connection holds
 * more than an equal share of what is left to requests.
 */
export function mustRefuse(budget: ByteBudget, holder: BudgetHolder): boolean {
  return isPressed(budget, holder, REFUSE_SHARE);
}

/**
 * Whether a connection that has requests in progress is not read from for now. One without is always read from:
 * nothing but its own input frees what it holds.
 */
export function mustPause(budget: ByteBudget, holder: BudgetHolder): boolean {
  const isInProgress = holder.held.queued > 0 || holder.held.unsent > 0;
  return isInProgress && isPressed(budget, holder, PAUSE_SHARE);
}

function isPressed(budget: ByteBudget, holder: BudgetHolder, share: number): boolean {
  if (budget.totalBytes <= budget.limitBytes * share) return false;
  return holder.totalBytes * budget.holders.size >= budget.limitBytes * share;
}

/**
 * Chooses the connection to close, if the budget or the share of unknown callers is exceeded: the largest holder of
 * the customer that holds most, the oldest of equal ones.
 *
 * @returns `undefined` while the budget is kept
 */
export function chooseToClose(
  budget: ByteBudget,
): { readonly holder: BudgetHolder; readonly reason: CloseReason } | undefined {
  // Checked with each message; the share of unknown callers is the smaller bound.
  if (budget.totalBytes <= budget.limitBytes * UNKNOWN_SHARE) return undefined;
  const unknownBytes = budget.bytesByCustomer.get(undefined) ?? 0;
  if (unknownBytes > budget.limitBytes * UNKNOWN_SHARE) {
    const holder = largestHolderOf(budget, undefined);
    return holder && { holder, reason: 'unknown-callers-share-exceeded' };
  }
  if (budget.totalBytes <= budget.limitBytes) return undefined;
  const [[customer] = []] = [...budget.bytesByCustomer].sort(([, a], [, b]) => b - a);
  const holder = largestHolderOf(budget, customer);
  return holder && { holder, reason: 'budget-exceeded' };
}

function largestHolderOf(
  budget: ByteBudget,
  customer: string | undefined,
): BudgetHolder | undefined {
  let largest: BudgetHolder | undefined;
  for (const holder of budget.holders) {
    if (holder.customer === customer && (!largest || isLarger(holder, largest))) largest = holder;
  }
  return largest;
}

function isLarger(holder: BudgetHolder, other: BudgetHolder): boolean {
  if (holder.totalBytes !== other.totalBytes) return holder.totalBytes > other.totalBytes;
  return holder.sinceMs < other.sinceMs;
}

/** Closes connections until the budget is kept. */
export function enforceBudget(budget: ByteBudget): void {
  for (let next = chooseToClose(budget); next; next = chooseToClose(budget)) {
    releaseHolder(budget, next.holder);
    next.holder.close(next.reason);
  }
}
