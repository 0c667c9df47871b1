/** Announces a stand-in server to the system: on change, and at least once per interval. */
import { requestJson } from './http-json.js';

export interface AnnouncerOptions {
  readonly urls: readonly string[];
  readonly token: string | undefined;
  readonly everyMs: number;
  /** Changes within this time go into one announcement. */
  readonly coalesceMs: number;
  readonly createAnnouncement: () => unknown;
  readonly isPaused: () => boolean;
}

export interface Announcer {
  readonly announceSoon: () => void;
}

const REQUEST_TIMEOUT_MS = 500;

/** Starts announcing; a url that does not answer is replaced by the next one. */
export function startAnnouncer(options: AnnouncerOptions): Announcer {
  let urlIndex = 0;
  const state = { isSending: false, isWanted: false };
  let timer: NodeJS.Timeout | undefined;
  setInterval(announceSoon, options.everyMs);
  announceSoon();
  return { announceSoon };

  function announceSoon(): void {
    state.isWanted = true;
    if (timer !== undefined || state.isSending) return;
    timer = setTimeout(() => {
      timer = undefined;
      void sendNow();
    }, options.coalesceMs);
  }

  async function sendNow(): Promise<void> {
    if (options.isPaused()) return;
    state.isSending = true;
    state.isWanted = false;
    const isSent = await sendOnce();
    state.isSending = false;
    if (!isSent) urlIndex += 1;
    if (!isSent || wasWantedMeanwhile()) announceSoon();
  }

  function wasWantedMeanwhile(): boolean {
    return state.isWanted;
  }

  async function sendOnce(): Promise<boolean> {
    const url = options.urls[urlIndex % options.urls.length];
    if (url === undefined) return true;
    const headers: Record<string, string> = {};
    if (options.token !== undefined) headers.authorization = `Bearer ${options.token}`;
    const body = options.createAnnouncement();
    const answer = await requestJson('PUT', url, body, REQUEST_TIMEOUT_MS, headers);
    return answer !== undefined;
  }
}
