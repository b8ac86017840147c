import type { ReplicaState } from '../ReplicaState/ReplicaState.js';

/** Records which of the candidates for a request was chosen. */
export function recordChoice(chosen: ReplicaState, candidates: readonly ReplicaState[]): void {
  candidates.forEach((candidate) => {
    if (candidate === chosen) {
      candidate.trial.recordChosen();
    } else {
      candidate.trial.recordPassedOver(candidates.length);
    }
  });
}
