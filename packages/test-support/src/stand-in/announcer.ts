/** Announces a stand-in server to the entries: after each change and at a fixed interval. */
import { requestJson } from './http-json.js';

export interface AnnouncerOptions {
  readonly urls: readonly string[];
  readonly token: string | undefined;
  readonly intervalMs: number;
  /** Changes within this delay are combined into one announcement. */
  readonly coalesceDelayMs: number;
  readonly createAnnouncement: () => unknown;
  readonly isPaused: () => boolean;
}

export interface Announcer {
  readonly scheduleAnnouncement: () => void;
}

const REQUEST_TIMEOUT_MS = 500;

/** Starts announcing. After a failed request the next URL in the list is used. */
export function startAnnouncer(options: AnnouncerOptions): Announcer {
  let urlIndex = 0;
  const state = { isSending: false, isRequested: false };
  let timer: NodeJS.Timeout | undefined;
  setInterval(scheduleAnnouncement, options.intervalMs);
  scheduleAnnouncement();
  return { scheduleAnnouncement };

  function scheduleAnnouncement(): void {
    state.isRequested = true;
    if (timer !== undefined || state.isSending) return;
    timer = setTimeout(() => {
      timer = undefined;
      void sendPendingAnnouncement();
    }, options.coalesceDelayMs);
  }

  async function sendPendingAnnouncement(): Promise<void> {
    if (options.isPaused()) return;
    state.isSending = true;
    state.isRequested = false;
    const isSent = await putAnnouncement();
    state.isSending = false;
    if (!isSent) urlIndex += 1;
    if (!isSent || wasRequestedMeanwhile()) scheduleAnnouncement();
  }

  function wasRequestedMeanwhile(): boolean {
    return state.isRequested;
  }

  async function putAnnouncement(): Promise<boolean> {
    const url = options.urls[urlIndex % options.urls.length];
    if (url === undefined) return true;
    const headers: Record<string, string> = {};
    if (options.token !== undefined) headers.authorization = `Bearer ${options.token}`;
    const body = options.createAnnouncement();
    const answer = await requestJson('PUT', url, body, REQUEST_TIMEOUT_MS, headers);
    return answer !== undefined;
  }
}
