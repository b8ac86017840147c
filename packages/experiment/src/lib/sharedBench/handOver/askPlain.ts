import { createHash } from 'node:crypto';
import { request } from 'undici';
import type { Agent } from 'undici';
import type { CallEnd } from './CallRecord.js';

/** A call to a plain service, through a daemon. */
export interface PlainCall {
  url: string;
  method: 'GET' | 'POST';
  headers: Record<string, string>;
  body: string;
}

/** What came of a call, and the daemon's name for it. */
export interface Answer {
  requestId?: string;
  end: CallEnd;
}

interface PlainBody {
  echo?: string;
  requestId?: string;
}

interface ProblemBody {
  outcome?: string;
  type?: string;
}

/** What a problem document says. */
export function getRefusal(status: number, text: string): CallEnd {
  const { outcome = 'none', type = 'none' } = JSON.parse(text) as ProblemBody;
  return { kind: 'refused', status, outcome, reason: type.split(':').at(-1)! };
}

function getAnswerEnd(text: string, sent: string): CallEnd {
  const { echo, requestId } = JSON.parse(text) as PlainBody;
  const isOwn = echo === createHash('sha256').update(sent).digest('hex');
  return { kind: 'answered', isOwn, run: requestId };
}

/**
 * Asks a plain service once.
 *
 * @internal
 */
export async function askPlain(dispatcher: Agent, call: PlainCall): Promise<Answer> {
  const { url, method, headers, body: sent } = call;
  let requestId: string | undefined;
  let hasBegun = false;
  try {
    const response = await request(url, { dispatcher, method, headers, body: sent || null });
    hasBegun = true;
    requestId = response.headers['x-request-id'] as string | undefined;
    const text = await response.body.text();
    const isAnswer = response.statusCode === 200;
    const end = isAnswer ? getAnswerEnd(text, sent) : getRefusal(response.statusCode, text);
    return { requestId, end };
  } catch (error) {
    return { requestId, end: { kind: hasBegun ? 'cut' : 'lost', error: String(error) } };
  }
}
