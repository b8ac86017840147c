import type { OutgoingHttpHeaders, ServerResponse } from 'node:http';
import { sendJson } from '../http/sendJson.js';

/** A backend server's word on its load, as old as `measuredAt` says. */
export interface ReportedLoad {
  running: number;
  waiting: number;
  slots: number;
  measuredAt: number;
}

/** The header that carries the load on every answer. */
export function getLoadHeaders(load: ReportedLoad): OutgoingHttpHeaders {
  const { running, waiting, slots, measuredAt } = load;
  const parts = [`running=${running}`, `waiting=${waiting}`, `slots=${slots}`];
  return { 'x-load': [...parts, `measured-at=${Math.round(measuredAt)}`].join(',') };
}

/** Why a request did not run. */
export enum RefusalReason {
  Leaving = 'leaving',
  Refusing = 'refusing',
  Overloaded = 'overloaded',
  NotLoaded = 'model-not-loaded',
}

const STATUS: Record<RefusalReason, number> = {
  [RefusalReason.Leaving]: 503,
  [RefusalReason.Refusing]: 503,
  [RefusalReason.Overloaded]: 429,
  [RefusalReason.NotLoaded]: 503,
};

/** Sends the documented refusal: nothing of the request ran or will run. */
export function sendRefusal(
  response: ServerResponse,
  reason: RefusalReason,
  load: ReportedLoad,
): void {
  const leaving = reason === RefusalReason.Leaving ? { 'x-leaving': 'true' } : {};
  const headers = { 'x-outcome': 'not-run', 'retry-after': '1', ...leaving };
  sendJson(response, STATUS[reason], { error: reason }, { ...headers, ...getLoadHeaders(load) });
}
