import { AttemptEnd } from '../../decide/messages.js';
import type { PlacementAsk, SharedAttempt } from '../../decide/messages.js';
import { decodeDatagram, encodeDatagram } from './datagram.js';
import type { Datagram } from './datagram.js';

const ATTEMPT: SharedAttempt = {
  key: '9c41d07be2a35f68/1',
  replica: 'i-c5d157d853',
  missingTokens: 2_890,
  memoryTokens: 9_240,
  isAnswering: true,
  pauseTarget: 250,
  prompt: { model: 'm', inputTokens: 5, outputTokens: 7, parts: [{ id: 'p', tokens: 5 }] },
};

const ASK: PlacementAsk = {
  key: 'k',
  wish: {
    service: 'llm',
    rank: 1,
    latencyTarget: 300,
    pauseTarget: 250,
    prompt: ATTEMPT.prompt,
  },
  availabilityZone: 'a',
  tried: ['i-9'],
};

const PLACEMENT = {
  replica: 'i-1',
  expected: 80,
  missingTokens: 700,
  tokensAhead: 1_400,
  copyTime: 5,
};

const FROM = { id: 'd-1', address: '10.0.0.1:7001', availabilityZone: 'zone-a' };

describe('a datagram', () => {
  it('comes out as it went in', () => {
    const datagram: Datagram = {
      from: FROM,
      news: [
        { kind: 'placed', attempt: ATTEMPT },
        { kind: 'answering', key: 'k' },
        { kind: 'ended', key: 'k' },
        { kind: 'ended', key: 'k', result: { end: AttemptEnd.Completed, after: 120 } },
        { kind: 'ask', ask: ASK },
        { kind: 'ask', ask: { ...ASK, wish: { ...ASK.wish, prompt: undefined } } },
        { kind: 'reply', reply: { key: 'k' } },
        { kind: 'reply', reply: { key: 'k', placement: PLACEMENT } },
        {
          kind: 'reply',
          reply: { key: 'k', placement: { ...PLACEMENT, fetchFrom: 'i-2', fetchTokens: 900 } },
        },
        { kind: 'broke', replica: 'i-1' },
        {
          kind: 'all',
          attempts: [{ ...ATTEMPT, prompt: undefined, pauseTarget: undefined, isAnswering: false }],
        },
      ],
      changes: { configuration: 17, replicas: 29 },
    };
    expect(decodeDatagram(encodeDatagram(datagram))).toEqual(datagram);
  });

  it('tells of twenty attempts in what passes in one piece', () => {
    const attempts = Array<SharedAttempt>(20).fill({ ...ATTEMPT, prompt: undefined });
    const bytes = encodeDatagram({ from: FROM, news: [{ kind: 'all', attempts }] });
    expect(bytes.length).toBeLessThan(1_472);
  });

  it.each([
    'nonsense',
    '{}',
    '[]',
    '["d","a","z",[["x","y"]],null]',
    '["d","a","z",[],{"r":"new"}]',
  ])('is refused when it is none: %s', (text) => {
    expect(() => decodeDatagram(Buffer.from(text))).toThrow();
  });
});
