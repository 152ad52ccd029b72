import type { AskOwner, OwnerAnswer } from '@rattanreel/orders';
import type { OwnerQuestions, OwnerQuestionsOptions } from '../types';

const ANSWER_TIMEOUT_MS = 10_000;

/** Asks other entry hosts about orders that they own, and answers their questions. */
export default function createOwnerQuestions(options: OwnerQuestionsOptions): OwnerQuestions {
  const { incarnation, transport, tryGetAddress, getOrderExecutor } = options;

  const askOwner: AskOwner = async (owner, order) => {
    const address = tryGetAddress(owner.entryHost);
    if (address === undefined) {
      return { kind: 'unreachable' };
    }
    const answer = await transport.ask(
      address,
      { kind: 'order', incarnation: owner.incarnation, nonce: owner.nonce, order },
      ANSWER_TIMEOUT_MS,
    );
    return answer.kind === 'ok' && answer.value.kind === 'order'
      ? answer.value.answer
      : { kind: 'unreachable' };
  };

  return {
    askOwner,
    async answer(question): Promise<OwnerAnswer> {
      // If this process has another incarnation, it has replaced the one asked, which has ended.
      return question.incarnation === incarnation
        ? getOrderExecutor().answerPeer(question.order, question.nonce)
        : { kind: 'gone' };
    },
  };
}
