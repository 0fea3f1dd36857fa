import {request} from 'undici';

import {
  completionTokens,
  streamEvent,
  completionBody,
} from '../../../standins/engine_server.js';
import type {DemoEstate} from './demo_estate.js';

const TOKEN = 'kariakoo-rounds-token';
const MODEL = 'rounds-assistant';

/** Row of the table of outcomes. */
export interface DemoRow {
  readonly label: string;
  readonly status: number;
  readonly outcome: string;
  readonly isCorrect: boolean;
}

interface DemoRequest {
  readonly label: string;
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body?: object;
  readonly token?: string;
  readonly expectedOutcome: string;
  /** Returns whether the response is the expected one. */
  readonly check: (status: number, body: string) => boolean;
}

function chat(text: string, stream: boolean): DemoRequest {
  const messages = [{role: 'user', content: text}];
  const body = {model: MODEL, messages, stream, max_tokens: 24};
  const tokens = completionTokens(body);
  const streamed = tokens
    .map((token, i) => streamEvent(MODEL, token, i === tokens.length - 1))
    .join('');
  const expected = stream
    ? `${streamed}data: [DONE]\n\n`
    : JSON.stringify(completionBody(MODEL, tokens));
  return {
    label: stream ? 'plan the stops (streamed)' : 'summarise the sales',
    method: 'POST',
    path: '/v1/chat/completions',
    body,
    expectedOutcome: 'done',
    check: (status, answer) => status === 200 && answer === expected,
  };
}

const REQUESTS: readonly DemoRequest[] = [
  chat('plan the stops for Mbezi', true),
  chat('summarise the sales of the day', false),
  {
    label: 'record a loading (at most once)',
    method: 'POST',
    path: '/services/depot/loadings',
    body: {van: 7, crates: 12},
    expectedOutcome: 'done',
    check: (status, answer) =>
      status === 200 && (JSON.parse(answer) as {run: number}).run === 1,
  },
  {
    label: 'look up a route sheet',
    method: 'GET',
    path: '/services/depot/sheets/7',
    expectedOutcome: 'done',
    check: status => status === 200,
  },
  {
    label: 'a token of nobody (refused)',
    method: 'GET',
    path: '/services/depot/sheets/7',
    token: 'nobody',
    expectedOutcome: 'not-run',
    check: status => status === 401,
  },
];

async function send(
  callers: string,
  demoRequest: DemoRequest,
): Promise<DemoRow> {
  const {label, method, path, body, token = TOKEN} = demoRequest;
  const res = await request(`http://${callers}${path}`, {
    method,
    headers: {
      authorization: `Bearer ${token}`,
      'content-type': 'application/json',
    },
    body: body === undefined ? null : JSON.stringify(body),
  });
  const answer = await res.body.text();
  const status = res.statusCode;
  const outcome = String(res.headers['baobabspan-outcome']);
  const isCorrect =
    outcome === demoRequest.expectedOutcome &&
    demoRequest.check(status, answer);
  return {label, status, outcome, isCorrect};
}

/**
 * Sends the requests of the demo to the entries, round-robin.
 * @param estate - running estate
 */
export async function sendRequests(estate: DemoEstate): Promise<DemoRow[]> {
  const rows: DemoRow[] = [];
  for (const [index, demoRequest] of REQUESTS.entries()) {
    const entry = estate.entries[index % estate.entries.length];
    rows.push(await send(entry?.callers ?? '', demoRequest));
  }
  return rows;
}
