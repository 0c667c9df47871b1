/** A counting semaphore for the statements that a stand-in server runs at a time. */

export interface Slots {
  free: number;
  readonly waiting: (() => void)[];
}

export function createSlots(count: number): Slots {
  return { free: count, waiting: [] };
}

export function acquireSlot(slots: Slots): Promise<void> {
  if (slots.free > 0) {
    slots.free -= 1;
    return Promise.resolve();
  }
  return new Promise((resolve) => slots.waiting.push(resolve));
}

export function releaseSlot(slots: Slots): void {
  const next = slots.waiting.shift();
  if (next) next();
  else slots.free += 1;
}
