import * as z from 'zod';
import { parseJson } from '../http/HttpClient.js';
import type { HttpClient } from '../http/HttpClient.js';
import { OBJECTS_PATH } from './ObjectServer/ObjectServer.js';
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

/** Creates a function that requests the objects of one kind from a reader. */
export function createPeerReader<Item>(client: HttpClient, kind: string): PeerReader<Item> {
  const step = `read ${kind} of a daemon`;
  return async ({ address }, { since, wait }, signal) => {
    try {
      const { status, text } = await client.send({
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
      return { kind: 'state', state };
    } catch (error) {
      return { kind: 'silent', error: error instanceof Error ? error : new Error(String(error)) };
    }
  };
}
