"""A proxy of the test's own between one machine and the store."""

import asyncio

OPENING_S = 0.5     # A relay waits so long for a channel to open.


class Proxy:
    """Carries channels to `target`. While it is cut, as behind a silent partition,
    bytes on open channels are held up until it heals. A channel that is opened
    meanwhile carries nothing and is reset when its opening would have timed out."""

    def __init__(self, target_ip, target_port):
        self.target_ = (target_ip, target_port)
        self.open_ = asyncio.Event()
        self.open_.set()

    async def start(self, ip, port):
        self.ip_, self.port_ = ip, port
        self.server_ = await asyncio.start_server(self.serve, ip, port)

    def cut(self):
        self.open_.clear()

    def heal(self):
        self.open_.set()

    async def serve(self, reader, writer):
        if not self.open_.is_set():
            await asyncio.sleep(OPENING_S)
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target_)
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(self.carry(reader, far_writer),
                             self.carry(far_reader, writer))

    async def carry(self, reader, writer):
        try:
            while data := await reader.read(65536):
                await self.open_.wait()
                writer.write(data)
                await writer.drain()
            await self.open_.wait()
        except (ConnectionError, OSError):
            pass
        writer.close()
