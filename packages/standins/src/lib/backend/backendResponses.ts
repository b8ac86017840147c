import type { OutgoingHttpHeaders, ServerResponse } from 'node:http';
import { sendJson } from '../http/sendJson.js';

/** The load that a backend server reports, as measured at `measuredAt`. */
export interface ReportedLoad {
  running: number;
  waiting: number;
  slots: number;
  measuredAt: number;
}

/** Returns the header that reports the load with every response. */
export function getLoadHeaders(load: ReportedLoad): OutgoingHttpHeaders {
  const { running, waiting, slots, measuredAt } = load;
  const parts = [`running=${running}`, `waiting=${waiting}`, `slots=${slots}`];
  return { 'x-load': [...parts, `measured-at=${Math.round(measuredAt)}`].join(',') };
}

/** Why a request was refused. */
export enum RefusalReason {
  Leaving = 'leaving',
  Refusing = 'refusing',
  Overloaded = 'overloaded',
  NotLoaded = 'model-not-loaded',
}

const STATUS_BY_REASON: Record<RefusalReason, number> = {
  [RefusalReason.Leaving]: 503,
  [RefusalReason.Refusing]: 503,
  [RefusalReason.Overloaded]: 429,
  [RefusalReason.NotLoaded]: 503,
};

/** Sends the documented refusal: no part of the request has run or will run. */
export function sendRefusal(
  response: ServerResponse,
  reason: RefusalReason,
  load: ReportedLoad,
): void {
  const leaving = reason === RefusalReason.Leaving ? { 'x-leaving': 'true' } : {};
  const headers = { 'x-outcome': 'not-run', 'retry-after': '1', ...leaving };
  sendJson(
    response,
    STATUS_BY_REASON[reason],
    { error: reason },
    { ...headers, ...getLoadHeaders(load) },
  );
}
