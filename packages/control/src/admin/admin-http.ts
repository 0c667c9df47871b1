/** HTTP interface for operators: one JSON call per request, answered by the leader. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { splitAddress } from '@bramleykeel/core';
import {
  type BodyBudget,
  type Counters,
  createBodyBudget,
  createBoundedHttpServer,
  type ProcessLimits,
  readJsonBody,
} from '@bramleykeel/link';
import type { CallAnswer } from './call-answer.js';

const MAX_BODY_BYTES = 4 * 1024 * 1024;
/** Part of the descriptors for operators; the others are for links, callers of metrics and files. */
const SHARE_OF_DESCRIPTORS = 0.6;
const MAX_CONCURRENT_REQUESTS = 1_024;
/** Part of the budget for bodies; the rest is for their text and what is parsed from it. */
const BODIES_SHARE_OF_BUDGET = 0.5;

const STATUS_CODES = {
  'bad-request': 400,
  denied: 403,
  'not-found': 404,
  conflict: 409,
  unavailable: 503,
} as const;

/**
 * Listens for `POST /v1/METHOD` with the operator's token as bearer token. Connections, requests and bodies are bounded.
 *
 * @throws when the address is in use
 */
export function listenForOperators(
  address: string,
  { budgetBytes, maxDescriptors }: ProcessLimits,
  counters: Pick<Counters, 'count'>,
  answerCall: (call: unknown) => Promise<CallAnswer>,
): Promise<Server> {
  const bodies = createBodyBudget(budgetBytes * BODIES_SHARE_OF_BUDGET, counters);
  const bounds = {
    maxConnections: Math.floor(maxDescriptors * SHARE_OF_DESCRIPTORS),
    maxRequests: MAX_CONCURRENT_REQUESTS,
    counters,
    name: 'operators',
  };
  const server = createBoundedHttpServer(bounds, (request, response) => {
    void handleRequest(bodies, request, response, answerCall);
  });
  const { host, port } = splitAddress(address);
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      resolve(server);
    });
  });
}

async function handleRequest(
  bodies: BodyBudget,
  request: IncomingMessage,
  response: ServerResponse,
  answerCall: (call: unknown) => Promise<CallAnswer>,
): Promise<void> {
  const method = /^\/v1\/([a-z-]+\/[a-z-]+)$/.exec(request.url ?? '')?.[1];
  if (request.method !== 'POST' || method === undefined) {
    sendJson(response, 404, { message: 'expected POST /v1/PART/VERB' });
    return;
  }
  const body = await readJsonBody(bodies, request, MAX_BODY_BYTES);
  if (body === undefined) {
    sendJson(response, 400, { message: 'expected a JSON body of at most 4 MiB' });
    return;
  }
  const token = /^Bearer (.+)$/.exec(request.headers.authorization ?? '')?.[1] ?? '';
  const answer = await answerCall({ method, params: body, token });
  if (answer.kind === 'ok') {
    sendJson(response, 200, answer.result);
    return;
  }
  const { code, message, detail } = answer;
  sendJson(response, STATUS_CODES[code], { code, message, detail });
}

function sendJson(response: ServerResponse, statusCode: number, body: unknown): void {
  response.statusCode = statusCode;
  response.setHeader('content-type', 'application/json');
  response.end(JSON.stringify(body));
}
