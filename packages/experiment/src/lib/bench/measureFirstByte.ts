import hdr from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import { Agent } from 'undici';
import type { Milliseconds } from '@apricotrill/utils';
import { MICROSECONDS_PER_MILLISECOND } from '../measure/measureCost.js';
import { streamChat } from './streamChat.js';
import type { ChatTarget } from './streamChat.js';

const PROBE_TOKENS = 2;

/** Probes follow each other by this, on average. */
const PROBE_GAP: Milliseconds = 20;

/** Time to first byte with and without the daemon. */
export interface FirstByteReading {
  probes: number;
  direct: { median: Milliseconds; p99: Milliseconds };
  through: { median: Milliseconds; p99: Milliseconds };
  added: { median: Milliseconds; p99: Milliseconds };
}

function getFigures(histogram: Histogram): { median: Milliseconds; p99: Milliseconds } {
  return {
    median: histogram.getValueAtPercentile(50) / MICROSECONDS_PER_MILLISECOND,
    p99: histogram.getValueAtPercentile(99) / MICROSECONDS_PER_MILLISECOND,
  };
}

function wait(span: Milliseconds): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, span);
  });
}

/**
 * Asks by turns with and without the daemon, so that whatever else the machine does touches both
 * alike.
 *
 * @param span - how long to go on
 * @internal
 */
export async function measureFirstByte(
  direct: ChatTarget,
  through: ChatTarget,
  span: Milliseconds,
): Promise<FirstByteReading> {
  const agent = new Agent({ connections: 4 });
  const histograms = [direct, through].map(() => hdr.build({ numberOfSignificantValueDigits: 3 }));
  const end = performance.now() + span;
  let probes = 0;
  while (performance.now() < end) {
    const index = probes % 2;
    const content = `Is unit ${probes} free?`;
    // One probe at a time: the next one must not wait for the last.
    // eslint-disable-next-line no-await-in-loop
    const { firstByte } = await streamChat(agent, [direct, through][index]!, {
      content,
      maxTokens: PROBE_TOKENS,
    });
    histograms[index]!.recordValue(Math.round(firstByte * MICROSECONDS_PER_MILLISECOND));
    probes += 1;
    // eslint-disable-next-line no-await-in-loop
    await wait(PROBE_GAP * Math.random());
  }
  await agent.destroy();
  const [directFigures, throughFigures] = histograms.map(getFigures);
  return {
    probes,
    direct: directFigures!,
    through: throughFigures!,
    added: {
      median: throughFigures!.median - directFigures!.median,
      p99: throughFigures!.p99 - directFigures!.p99,
    },
  };
}
