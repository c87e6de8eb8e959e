//! Limit on the memory that incomplete messages of all connections occupy.

use super::ClientListener;
use crate::host::Host;
use cleatpulley_policy::interface::Micros;

impl<H: Host> ClientListener<H> {
    /// Sets the maximum number of bytes of all incomplete messages.
    pub fn set_buffer_limit(&mut self, max_buffered_bytes: usize) {
        self.max_buffered_bytes = max_buffered_bytes;
    }

    /// Returns the number of bytes of all incomplete messages.
    #[must_use]
    pub fn buffered_bytes(&self) -> usize {
        self.buffered_bytes
    }

    /// Counts the buffers of the connection that was just served. While the buffers of all connections exceed
    /// the limit, gives up the largest incomplete message, like one that is not complete in time.
    pub(super) fn limit_buffers(&mut self, now: Micros, served_number: u64) {
        self.count_buffers(served_number);
        while self.buffered_bytes > self.max_buffered_bytes {
            let largest = self
                .connections
                .iter()
                .max_by_key(|(_, connection)| connection.counted_buffer_bytes);
            let Some((&largest_number, _)) = largest else {
                return;
            };
            self.give_up_message(now, largest_number);
        }
    }

    fn count_buffers(&mut self, number: u64) {
        if let Some(connection) = self.connections.get_mut(&number) {
            self.buffered_bytes -= connection.counted_buffer_bytes;
            connection.counted_buffer_bytes = connection.buffered_bytes();
            self.buffered_bytes += connection.counted_buffer_bytes;
        }
    }

    fn give_up_message(&mut self, now: Micros, number: u64) {
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        tracing::debug!("client connection {number}: too much memory in incomplete messages");
        let context = self.context.for_connection(now, number);
        connection
            .machine
            .handle_timeout(&context, connection.stream.output());
        connection.stream.input = Vec::new();
        self.buffered_bytes -= connection.counted_buffer_bytes;
        connection.counted_buffer_bytes = 0;
        self.ready.push(number);
    }
}
