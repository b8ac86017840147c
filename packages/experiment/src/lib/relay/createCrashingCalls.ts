import type { CrashingPart, RelayDeployment } from './RelayDeployment.js';
import type { SimulatedCall } from './SimulatedCall.js';

/** ID of the prompt part that crashes engines. */
export const CRASHING_PART_ID = 'crashing';

/** Whether a prompt has the part that crashes engines in a position where it does. */
export function hasCrashingPart({ prompt }: Pick<SimulatedCall, 'prompt'>): boolean {
  return prompt?.parts.slice(0, -1).some(({ id }) => id === CRASHING_PART_ID) ?? false;
}

/**
 * Creates the calls whose prompts have the part that crashes engines. All else in a prompt is that of
 * a sound call.
 */
export function createCrashingCalls(
  { startsAt, duration, position, rate }: CrashingPart,
  { daemons }: Pick<RelayDeployment, 'daemons'>,
  sound: readonly SimulatedCall[],
): SimulatedCall[] {
  const models = sound.filter(({ prompt }) => (prompt?.parts.length ?? 0) > position + 1);
  const count = Math.floor((duration * rate) / 1_000);
  return Array.from({ length: count }, (_item, index) => {
    const model = models[(index * 7) % models.length]!;
    const id = `crashing/${index}`;
    const parts = model.prompt!.parts.map((part, at) => {
      const isLast = at === model.prompt!.parts.length - 1;
      return at === position
        ? { ...part, id: CRASHING_PART_ID }
        : { ...part, id: isLast ? id : part.id };
    });
    return {
      ...model,
      id,
      daemon: index % daemons,
      arrivedAt: startsAt + (index * 1_000) / rate,
      prompt: { ...model.prompt!, parts },
      writers: [],
    };
  });
}
