import { readBody } from '@apricotrill/callers';
import type { BodyResult } from '@apricotrill/callers';
import type { Clock } from '@apricotrill/utils';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { CallerLimits } from '../config/RelayConfiguration.js';
import type { Holding } from '../memory/HeldBytes/Holding.js';
import { HeldKind } from '../memory/HeldKind.js';
import { getAnnouncedBytes } from '../memory/getAnnouncedBytes.js';
import { getHeadHeapBytes } from '../memory/getHeadHeapBytes.js';
import type { MemoryGuard } from '../memory/MemoryGuard/MemoryGuard.js';

/** A body as taken in: read with its memory reserved, or not read for lack of memory. */
export type BodyIntakeResult =
  | { kind: 'no-memory' }
  | Exclude<BodyResult, { kind: 'whole' }>
  | { kind: 'whole'; body: Buffer | undefined; holding: Holding };

/** A request whose head was accepted. */
export interface IncomingBody {
  request: IncomingMessage;
  response: ServerResponse;
  /** From 0 to 1, which is the most urgent. */
  urgency: number;
  limits: CallerLimits;
}

/** Reads the bodies of requests, each only once there is memory for it. */
export class BodyIntake {
  constructor(
    private readonly clock: Clock,
    private readonly memory: MemoryGuard,
  ) {}

  /** What the request holds is released when its response is closed. */
  async read({ request, response, urgency, limits }: IncomingBody): Promise<BodyIntakeResult> {
    const { bodyBytes: maxBytes, idleTimeout: timeout } = limits;
    const bytes = getAnnouncedBytes(request, maxBytes);
    const headBytes = getHeadHeapBytes(request);
    const admission = this.memory.admit({ urgency, bytes, headBytes });
    const holding = admission instanceof Promise ? await admission : admission;
    if (holding === undefined) {
      return { kind: 'no-memory' };
    }
    if (request.destroyed || response.destroyed) {
      holding.release();
      return { kind: 'cut' };
    }
    response.once('close', () => holding.release());
    const result = await readBody(request, { maxBytes, timeout }, this.clock);
    if (result.kind !== 'whole') {
      holding.set(HeldKind.RequestBody, 0);
      return result;
    }
    holding.set(HeldKind.RequestBody, result.body?.length ?? 0);
    return { ...result, holding };
  }
}
