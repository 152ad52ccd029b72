import { z } from 'zod';
import type { EngineOrder } from './types';

const fenceSchema = z.number().int();
const orderSchema = z.discriminatedUnion('order', [
  z.object({ order: z.literal('loadVersion'), version: z.string(), fence: fenceSchema }),
  z.object({ order: z.literal('loadAdapter'), adapter: z.string(), fence: fenceSchema }),
  z.object({ order: z.literal('setRole'), role: z.string(), fence: fenceSchema }),
]);

/** Parses an order to an engine; returns `undefined` if it is malformed. */
export default function parseEngineOrder(value: unknown): EngineOrder | undefined {
  const parsed = orderSchema.safeParse(value);
  return parsed.success ? parsed.data : undefined;
}
