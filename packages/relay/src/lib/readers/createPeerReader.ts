import type { Milliseconds } from '@apricotrill/utils';
import * as z from 'zod';
import { parseJson } from '../http/HttpClient.js';
import type { HttpClient } from '../http/HttpClient.js';
import { OBJECTS_PATH, STATE_AGE_HEADER } from './ObjectServer/ObjectServer.js';
import { readerOptions } from './readerOptions.js';
import type { PeerReader } from './SharedSource/SharedSource.js';
import type { SharedState } from './SharedObjects/SharedObjects.js';

const OK = 200;

/** The objects themselves have been validated by the reader, which uses the same format. */
const stateSchema = z.object({
  token: z.string(),
  revision: z.number(),
  era: z.number().optional(),
  isWhole: z.boolean(),
  changes: z.array(z.tuple([z.string(), z.unknown()])),
});

/** @returns undefined for a reader of an earlier release, which does not state the age */
function readAge(header: string | string[] | undefined): Milliseconds | undefined {
  const age = Number(header ?? '');
  return header !== undefined && Number.isFinite(age) && age >= 0 ? age : undefined;
}

/** Creates a function that requests the objects of one kind from a reader. */
export function createPeerReader<Item>(client: HttpClient, kind: string): PeerReader<Item> {
  const step = `read ${kind} of a daemon`;
  return async ({ address }, { since, wait }, signal) => {
    try {
      const { status, headers, text, transferTime } = await client.send({
        step,
        method: 'GET',
        address,
        path: `${OBJECTS_PATH}/${kind}?since=${encodeURIComponent(since)}&wait=${Math.round(wait)}`,
        headers: { 'accept-encoding': 'gzip' },
        timeout: wait + readerOptions.responseSlack,
        signal,
      });
      if (status !== OK) {
        return { kind: 'refused' };
      }
      const state = stateSchema.parse(parseJson(text, step, address)) as SharedState<Item>;
      return { kind: 'state', state, age: readAge(headers[STATE_AGE_HEADER]), transferTime };
    } catch (error) {
      return { kind: 'silent', error: error instanceof Error ? error : new Error(String(error)) };
    }
  };
}
