/** A counting semaphore that limits how many statements a stand-in server runs concurrently. */

export interface Slots {
  freeCount: number;
  readonly waiters: (() => void)[];
}

export function createSlots(count: number): Slots {
  return { freeCount: count, waiters: [] };
}

export function acquireSlot(slots: Slots): Promise<void> {
  if (slots.freeCount > 0) {
    slots.freeCount -= 1;
    return Promise.resolve();
  }
  return new Promise((resolve) => slots.waiters.push(resolve));
}

export function releaseSlot(slots: Slots): void {
  const next = slots.waiters.shift();
  if (next) next();
  else slots.freeCount += 1;
}
